/** What a replica made of a call, as far as it decides whom to ask next. */
export type ReplyKind =
  /** The reply is the caller's. */
  | { readonly type: 'final' }
  /**
   * The replica does not decide calls; `leader` is the address of the leader as it knows it. `isLeaderless` when it has
   * known none for longer than elections take.
   */
  | { readonly type: 'notLeader', readonly leader?: string, readonly isLeaderless?: true }
  /** The replica leads and could not decide the call; with `unknown` it may still be decided. */
  | { readonly type: 'undecided', readonly state: 'not-run' | 'unknown' }

/** Events of a relayed call. Replicas are named by their addresses. */
export type RelayEvent =
  /**
   * `moveMs` is the time that the call takes on the link of this process, in milliseconds. With `isOffered`, replicas
   * are asked without the body of the call at first, and the one that leads is sent it; `plainMoveMs` is the time that
   * the call takes at a replica that can't read offers, which is sent the body uncompressed.
   */
  | { readonly type: 'start', readonly moveMs?: number, readonly isOffered?: boolean, readonly plainMoveMs?: number }
  /** A replica that was asked without the body leads and wants it. */
  | { readonly type: 'wanted', readonly replica: string }
  /** Bytes of a reply have arrived; `moveMs` is the time that the whole reply takes on the link, in milliseconds. */
  | { readonly type: 'progress', readonly replica: string, readonly moveMs: number }
  | { readonly type: 'reply', readonly replica: string, readonly reply: ReplyKind }
  /**
   * The connection could not be opened, or was closed before the reply: `wasSent` when the body may have been received.
   * `isOfferRefused` when it was open and the replica was asked without the body, which earlier versions can't read.
   */
  | { readonly type: 'failed', readonly replica: string, readonly wasSent: boolean, readonly isOfferRefused?: boolean }
  | { readonly type: 'wake' }

/** Actions that the host carries out for a relayed call. */
export type RelayAction =
  /** With `isOffer`, without the body of the call. */
  | { readonly type: 'ask', readonly replica: string, readonly isOffer: boolean }
  /** Send the whole call to a replica that wants it, on the connection on which it was asked. */
  | { readonly type: 'carry', readonly replica: string }
  /** Close the connection to a replica. */
  | { readonly type: 'drop', readonly replica: string }
  | { readonly type: 'wakeAt', readonly atMs: number }
  /** Pass the last reply on to the caller. */
  | { readonly type: 'deliver' }
  /** No replica decided in time; `unknown` when one may still do so. */
  | { readonly type: 'giveUp', readonly state: 'not-run' | 'unknown' }
