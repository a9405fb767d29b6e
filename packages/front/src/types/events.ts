import type { LogEvent } from '@rattanstep/telemetry'

/** Log lines of the front. */
export const FRONT_EVENTS = {
  routed: {
    number: 1000,
    name: 'request-routed',
    level: 'info',
    message: 'One attempt to run a request on a worker ended.',
    fields: {
      request: 'identifier of the request',
      attempt: 'number of the attempt, from 1',
      class: 'class of the request',
      owner: 'node that gave the permit',
      worker: 'worker that the request was sent to',
      wait: 'ms from arrival to the permit',
      reason: 'why this worker: how its owner was chosen',
      candidates: 'owners that were compared',
      outcome: 'run, not-run or unknown',
      fault: 'why the attempt failed, or empty',
      detail: 'what was seen at the connection',
      service: 'ms from the first byte sent to the end'
    }
  },
  refused: {
    number: 1001,
    name: 'request-refused',
    level: 'info',
    message: 'A request ended without having been sent to a worker.',
    fields: {
      request: 'identifier of the request',
      class: 'class of the request, or empty',
      wait: 'ms from arrival to the answer',
      reason: 'why no room was given or what is wrong with the request',
      status: 'status of the answer'
    }
  },
  failed: {
    number: 1002,
    name: 'request-failed',
    level: 'warn',
    message: 'A request was sent to a worker and did not get its whole answer.',
    fields: {
      request: 'identifier of the request',
      class: 'class of the request',
      fault: 'why the last attempt failed',
      outcome: 'run, not-run or unknown',
      status: 'status of the answer, or 0 when there was nobody to answer or the answer was cut'
    }
  },
  connectionSilent: {
    number: 1003,
    name: 'connection-silent',
    level: 'warn',
    message: 'A connection to a worker gave no byte for the probe time and was closed.',
    fields: { worker: 'the worker', probe: 'probe time in ms' }
  },
  malformed: {
    number: 1004,
    name: 'request-malformed',
    level: 'info',
    message: 'A caller sent bytes that are no valid request.',
    fields: { caller: 'address of the caller', code: 'what the parser found', status: 'status of the answer' }
  },
  listening: {
    number: 1005,
    name: 'front-listening',
    level: 'info',
    message: 'The front takes requests.',
    fields: { address: 'where it listens' }
  },
  draining: {
    number: 1006,
    name: 'front-draining',
    level: 'info',
    message: 'The front takes no new requests and finishes those in flight.',
    fields: { inFlight: 'number of requests in flight', timeout: 'most ms that they are waited for' }
  },
  faulted: {
    number: 1008,
    name: 'front-fault',
    level: 'error',
    message: 'The front failed while it handled a request, and cut the caller off.',
    fields: { request: 'identifier of the request', error: 'what was thrown' }
  },
  redirected: {
    number: 1009,
    name: 'ask-redirected',
    level: 'debug',
    message: 'An owner gave no room, and another one is asked.',
    fields: {
      ask: 'identifier of the ask: the request and the number of the attempt',
      owner: 'who gave no room',
      reason: 'why not',
      next: 'who is asked now'
    }
  },
  keysNotReceived: {
    number: 1010,
    name: 'keys-forgotten',
    level: 'warn',
    message: 'The keys of the home before did not arrive; keys that may have been used before are not run.',
    fields: { shard: 'number of the range of keys', version: 'version of the assignment', window: 'ms for which that lasts' }
  },
  settleUnconfirmed: {
    number: 1011,
    name: 'key-settle-lost',
    level: 'warn',
    message: 'No home confirmed how a request with a key ended; repeats of it are answered with unknown.',
    fields: { claim: 'identifier of the claim', outcome: 'how the request ended' }
  },
  drained: {
    number: 1007,
    name: 'front-drained',
    level: 'info',
    message: 'The front has closed.',
    fields: { cut: 'number of requests that were still in flight' }
  }
} as const satisfies Record<string, LogEvent>
