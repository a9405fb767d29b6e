/** States of the request chart. */
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

/** Events of the request chart. */
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

/** States of the chart of a connection to a worker. */
export type ConnectionState = 'unused' | 'busy' | 'idle' | 'closing' | 'closed'

/** Events of the chart of a connection to a worker. */
export type ConnectionEvent = 'take' | 'free' | 'close' | 'closed'
