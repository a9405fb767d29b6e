import type { LogEvent } from '@rattanstep/telemetry'

const DECISION_FIELDS = {
  ask: 'identifier of the request for room',
  class: 'class that the rules gave to it',
  front: 'incarnation of the asking node',
  waited: 'ms that it waited at this owner',
  reason: 'why it was decided this way'
}

/** Log events of the owner's side of permits. */
export const EVENTS = {
  granted: {
    number: 2000,
    name: 'room-granted',
    level: 'info',
    message: 'Room on a worker was given to a request.',
    fields: { ...DECISION_FIELDS, worker: 'the chosen worker', permit: 'identifier of the permit', candidates: 'workers that had room' }
  },
  refused: {
    number: 2001,
    name: 'room-refused',
    level: 'info',
    message: 'A request was refused room; it was not run.',
    fields: { ...DECISION_FIELDS, retryAfter: 'ms after which a new attempt has a chance', redirect: 'owner with free room, or empty' }
  },
  workerGained: {
    number: 2002,
    name: 'worker-gained',
    level: 'info',
    message: 'This node owns a worker now and counts all of it as used until it knows better.',
    fields: { worker: 'the worker', version: 'version of the assignment', awaiting: 'nodes asked for their permits' }
  },
  workerConfirmed: {
    number: 2003,
    name: 'worker-confirmed',
    level: 'info',
    message: 'What runs on a worker taken over is known; its free room is in use again.',
    fields: { worker: 'the worker', after: 'ms since it was taken over', permits: 'permits in use', unknown: 'requests on it that no node claims' }
  },
  workerLost: {
    number: 2004,
    name: 'worker-lost',
    level: 'info',
    message: 'This node no longer owns a worker.',
    fields: { worker: 'the worker', version: 'version of the assignment' }
  },
  workerLeaving: {
    number: 2005,
    name: 'worker-leaving',
    level: 'info',
    message: 'The platform lists a worker as leaving; it is given nothing new.',
    fields: { worker: 'the worker' }
  },
  leaseLapsed: {
    number: 2006,
    name: 'admission-paused',
    level: 'warn',
    message: 'The lease of this node lapsed; it admits nothing until it is renewed.',
    fields: { version: 'version of the assignment', waiting: 'requests that wait' }
  },
  leaseRenewed: {
    number: 2007,
    name: 'admission-resumed',
    level: 'info',
    message: 'The lease of this node is renewed; it admits again.',
    fields: { version: 'version of the assignment', paused: 'ms without a lease' }
  },
  grantWithdrawn: {
    number: 2008,
    name: 'grant-withdrawn',
    level: 'warn',
    message: 'A decision was dropped because the node may not fill the worker any more.',
    fields: { ask: 'identifier of the request for room', worker: 'the worker' }
  },
  reportFailed: {
    number: 2009,
    name: 'report-failed',
    level: 'warn',
    message: 'A worker did not report what it runs.',
    fields: { worker: 'the worker', fault: 'kind of failure', message: 'what was reported' }
  }
} as const satisfies Record<string, LogEvent>
