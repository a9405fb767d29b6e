import type { LogEvent } from '@rattanstep/telemetry'

/** Log events of the connections between nodes. */
export const EVENTS = {
  listening: {
    number: 6000,
    name: 'peer-listening',
    level: 'info',
    message: 'The node is listening for other nodes.',
    fields: { host: 'bound address', port: 'bound port' }
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
    message: 'A connection to another node ended; the node will reconnect.',
    fields: { peer: 'incarnation of the other node', reason: 'why the connection ended', retry: 'ms until the next attempt' }
  },
  silent: {
    number: 6003,
    name: 'peer-silent',
    level: 'warn',
    message: 'Another node acknowledged no frame within the silence timeout; the connection was closed.',
    fields: { peer: 'incarnation of the other node', unacknowledged: 'number of frames without an acknowledgement' }
  },
  refused: {
    number: 6004,
    name: 'peer-refused',
    level: 'warn',
    message: 'A connection between nodes was refused because the other end could not be authenticated.',
    fields: { from: 'incarnation that the other end claimed', address: 'address of the other end', reason: 'why it was refused' }
  },
  malformed: {
    number: 6005,
    name: 'peer-malformed',
    level: 'warn',
    message: 'A message from another node was dropped because it is malformed or of an unknown kind.',
    fields: { from: 'incarnation of the sender', body: 'kind of the message as received' }
  },
  overflow: {
    number: 6006,
    name: 'peer-overflow',
    level: 'warn',
    message: 'The queue of messages for a connection was full; the oldest messages were dropped.',
    fields: { peer: 'incarnation of the other node', dropped: 'number of messages dropped' }
  }
} as const satisfies Record<string, LogEvent>
