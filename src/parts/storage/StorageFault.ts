import type { StorageFailure } from './Types.js'

/** Failure of a disk operation. When the log meets any kind but `full` in a write, every later write fails. */
export class StorageFault extends Error {
  /**
   * @param failure Kind of failure.
   * @param file Name of the file concerned.
   * @param detail What happened, for the message.
   */
  public constructor (
    public readonly failure: StorageFailure,
    public readonly file: string,
    detail: string
  ) {
    super(`${failure}: ${file}: ${detail}`)
    this.name = 'StorageFault'
  }
}
