import type { Disposable } from './Types.js'

/** A typed event source: listeners are called in the order in which they were added. */
export class Emitter<T> implements Disposable {
  private _listeners: Array<(value: T) => void> = []

  /**
   * Adds a listener.
   * @param listener Called with each value.
   * @returns Disposing it removes the listener.
   */
  public readonly event = (listener: (value: T) => void): Disposable => {
    this._listeners.push(listener)
    return { dispose: () => this._remove(listener) }
  }

  /** Calls all listeners with a value. */
  public fire (value: T): void {
    // Safe when a listener removes itself while it runs: `_remove` replaces the array that this loop iterates.
    for (const listener of this._listeners) listener(value)
  }

  /** Removes all listeners. */
  public dispose (): void {
    this._listeners = []
  }

  private _remove (listener: (value: T) => void): void {
    this._listeners = this._listeners.filter(other => other !== listener)
  }
}
