import type { LogEvent } from '@rattanstep/telemetry'

const DECISION_FIELDS = {
  ask: 'identifier of the ask',
  class: 'class that the rules assigned to it',
  front: 'incarnation of the node that sent it',
  waited: 'ms that it waited at this owner',
  reason: 'reason for the decision'
}

/** Log events of the owner's side of permits. */
export const EVENTS = {
  granted: {
    number: 2000,
    name: 'room-granted',
    level: 'info',
    message: 'A request was granted capacity on a worker.',
    fields: { ...DECISION_FIELDS, worker: 'the chosen worker', permit: 'identifier of the permit', candidates: 'number of workers that were compared' }
  },
  refused: {
    number: 2001,
    name: 'room-refused',
    level: 'info',
    message: 'A request was refused capacity and was not run.',
    fields: { ...DECISION_FIELDS, retryAfter: 'ms after which a new attempt may succeed', redirect: 'owner with free capacity, or empty' }
  },
  workerGained: {
    number: 2002,
    name: 'worker-gained',
    level: 'info',
    message: 'This node became the owner of a worker and counts all of it as used until it knows what runs there.',
    fields: { worker: 'the worker', version: 'version of the assignment', awaiting: 'nodes asked for their permits' }
  },
  workerConfirmed: {
    number: 2003,
    name: 'worker-confirmed',
    level: 'info',
    message: 'Everything that runs on a worker taken over is known; its free capacity is available again.',
    fields: { worker: 'the worker', after: 'ms since it was taken over', permits: 'number of permits in use', unknown: 'number of requests on it that no node claims' }
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
    message: 'The platform lists a worker as leaving; it gets no new work.',
    fields: { worker: 'the worker' }
  },
  leaseLapsed: {
    number: 2006,
    name: 'admission-paused',
    level: 'warn',
    message: 'The lease of this node expired; it admits nothing until the lease is renewed.',
    fields: { version: 'version of the assignment', waiting: 'number of waiting requests' }
  },
  leaseRenewed: {
    number: 2007,
    name: 'admission-resumed',
    level: 'info',
    message: 'The lease of this node was renewed; it admits work again.',
    fields: { version: 'version of the assignment', paused: 'ms without a lease' }
  },
  grantWithdrawn: {
    number: 2008,
    name: 'grant-withdrawn',
    level: 'warn',
    message: 'A grant was withdrawn before it was sent because the node may no longer admit work to the worker.',
    fields: { ask: 'identifier of the ask', worker: 'the worker' }
  },
  reportFailed: {
    number: 2009,
    name: 'report-failed',
    level: 'warn',
    message: 'The request for a report of a worker failed.',
    fields: { worker: 'the worker', fault: 'kind of failure', message: 'error message' }
  }
} as const satisfies Record<string, LogEvent>
