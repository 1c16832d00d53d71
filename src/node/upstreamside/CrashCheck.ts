import { connect } from 'node:net'
import { parseAddress } from '../../runtime/Address.js'

/** Time in which an upstream must accept a connection; after it, the upstream counts as crashed. */
const CHECK_TIMEOUT_MS = 500

/**
 * Checks whether an upstream has crashed, after a lost connection or a response timeout, by connecting to its listener.
 * A check that is requested while another runs shares its result.
 */
export class CrashCheck {
  private _waiters: Array<(crashed: boolean) => void> = []

  /**
   * @param _address Listener of the upstream, `host:port`.
   */
  public constructor (private readonly _address: string) {}

  /**
   * Runs one check.
   * @param onResult Called with true when nothing accepts connections any more.
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
