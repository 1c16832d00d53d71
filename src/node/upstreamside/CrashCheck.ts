import { connect } from 'node:net'
import { parseAddress } from '../../runtime/Address.js'

/** Time that an upstream has to take a connection before it counts as crashed. */
const CHECK_TIMEOUT_MS = 500

/**
 * Tells whether an upstream that dropped a connection still listens.
 * Checks that are asked for while one runs share its result.
 */
export class CrashCheck {
  private _waiters: Array<(crashed: boolean) => void> = []

  /**
   * @param _address `host:port` of the upstream.
   */
  public constructor (private readonly _address: string) {}

  /**
   * Checks once.
   * @param onResult True when nothing listens there any more.
   */
  public run (onResult: (crashed: boolean) => void): void {
    this._waiters.push(onResult)
    if (this._waiters.length === 1) this._check()
  }

  private _check (): void {
    const socket = connect(parseAddress(this._address))
    const finish = (crashed: boolean): void => {
      clearTimeout(timer)
      socket.destroy()
      const waiters = this._waiters
      this._waiters = []
      for (const waiter of waiters) waiter(crashed)
    }
    const timer = setTimeout(() => finish(true), CHECK_TIMEOUT_MS)
    socket.once('connect', () => finish(false))
    socket.once('error', () => finish(true))
  }
}
