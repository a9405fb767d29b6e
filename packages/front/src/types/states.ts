/**
 * States and events of the charts of this package.
 */

/** Where a request stands. */
export type RequestState =
  | 'received'
  | 'claiming'
  | 'waiting'
  | 'dispatching'
  | 'sending'
  | 'answering'
  | 'ended'
  | 'refused'
  | 'failed'
  | 'cut'
  | 'left'

/** What may happen to a request. */
export type RequestEvent =
  | 'claim'
  | 'ask'
  | 'grant'
  | 'send'
  | 'answer'
  | 'end'
  | 'refuse'
  | 'replay'
  | 'fail'
  | 'cut'
  | 'leave'

/** Where a connection to a worker stands. */
export type ConnectionState = 'unused' | 'busy' | 'idle' | 'closing' | 'closed'

/** What may happen to a connection to a worker. */
export type ConnectionEvent = 'take' | 'free' | 'close' | 'closed'
