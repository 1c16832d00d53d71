import type { StorageFailure } from './Types.js'

/** Failure of the disk or of what it holds. After `sync-failed` the process must stop. */
export class StorageFault extends Error {
  /**
   * @param failure Kind of failure.
   * @param file File that it concerns.
   * @param detail What happened, in words.
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
