import type { Disposable } from './Types.js'

/** A typed event: listeners are called in the order in which they were added. */
export class Emitter<T> implements Disposable {
  private _listeners: Array<(value: T) => void> = []

  /**
   * Adds a listener.
   * @param listener Called with each value.
   * @returns Removes the listener when disposed.
   */
  public readonly event = (listener: (value: T) => void): Disposable => {
    this._listeners.push(listener)
    return { dispose: () => this._remove(listener) }
  }

  /** Calls all listeners. */
  public fire (value: T): void {
    // A listener may dispose itself while it runs; `remove` replaces the array, so this loop is safe.
    for (const listener of this._listeners) listener(value)
  }

  /** Drops all listeners. */
  public dispose (): void {
    this._listeners = []
  }

  private _remove (listener: (value: T) => void): void {
    this._listeners = this._listeners.filter(other => other !== listener)
  }
}
