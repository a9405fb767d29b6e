import type { LogEvent } from '@rattanstep/telemetry'

/** Log events of the connections between nodes. */
export const EVENTS = {
  listening: {
    number: 6000,
    name: 'peer-listening',
    level: 'info',
    message: 'The node listens for other nodes.',
    fields: { host: 'address listened on', port: 'port listened on' }
  },
  connected: {
    number: 6001,
    name: 'peer-connected',
    level: 'info',
    message: 'A connection to another node is open and both ends have proved the shared secret.',
    fields: { peer: 'incarnation of the other node', host: 'its address', port: 'its port' }
  },
  disconnected: {
    number: 6002,
    name: 'peer-disconnected',
    level: 'warn',
    message: 'A connection to another node ended; a new one is tried.',
    fields: { peer: 'incarnation of the other node', reason: 'what the connection reported', retry: 'ms until the next try' }
  },
  silent: {
    number: 6003,
    name: 'peer-silent',
    level: 'warn',
    message: 'A connection to another node acknowledged nothing for the probe time and was given up.',
    fields: { peer: 'incarnation of the other node', unacknowledged: 'frames without an acknowledgement' }
  },
  refused: {
    number: 6004,
    name: 'peer-refused',
    level: 'warn',
    message: 'A stranger tried to connect as a node and was refused.',
    fields: { from: 'name that it gave', address: 'where it came from', reason: 'why it was refused' }
  },
  malformed: {
    number: 6005,
    name: 'peer-malformed',
    level: 'warn',
    message: 'A message from another node was not understood and dropped.',
    fields: { from: 'incarnation of the sender', body: 'kind of the message as given' }
  },
  overflow: {
    number: 6006,
    name: 'peer-overflow',
    level: 'warn',
    message: 'Too many messages waited for a connection; the oldest were dropped.',
    fields: { peer: 'incarnation of the other node', dropped: 'messages dropped' }
  }
} as const satisfies Record<string, LogEvent>
