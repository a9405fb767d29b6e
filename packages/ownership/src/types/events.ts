import type { LogEvent } from '@rattanstep/telemetry'

/** Events of the package, numbers 3000 to 3999. */
export const EVENTS = {
  assignmentAdopted: {
    number: 3000,
    name: 'assignment-adopted',
    level: 'info',
    message: 'A newer assignment is followed.',
    fields: {
      version: 'the version followed from now on',
      previous: 'the version followed before',
      source: 'how it was learned: table, peer or own write',
      owned: 'number of resources that this node owns',
      voters: 'the voters named'
    }
  },
  assignmentWritten: {
    number: 3001,
    name: 'assignment-written',
    level: 'info',
    message: 'This node changed the assignment.',
    fields: { version: 'the version written', changes: 'what was changed and why' }
  },
  assignmentConflict: {
    number: 3002,
    name: 'assignment-conflict',
    level: 'info',
    message: 'Another node changed the assignment first; the change is planned anew.',
    fields: { version: 'the version that was expected', changes: 'what was to be changed' }
  },
  assignmentUncertain: {
    number: 3003,
    name: 'assignment-uncertain',
    level: 'warn',
    message: 'The answer to a change of the assignment was lost and it has not been seen; it may yet take effect.',
    fields: { version: 'the version that was to be written', changes: 'what was to be changed' }
  },
  assignmentUnreadable: {
    number: 3004,
    name: 'assignment-unreadable',
    level: 'error',
    message: 'The assignment row cannot be understood; nothing is changed until it can.',
    fields: { findings: 'what is wrong and where' }
  },
  tableUnreachable: {
    number: 3005,
    name: 'table-unreachable',
    level: 'warn',
    message: 'The table does not answer; owners go on serving and nothing is claimed.',
    fields: { fault: 'kind of fault', detail: 'what the table said', retryIn: 'ms until the next try' }
  },
  tableReachable: {
    number: 3006,
    name: 'table-reachable',
    level: 'info',
    message: 'The table answers again.',
    fields: { after: 'ms without an answer' }
  },
  leaseGained: {
    number: 3010,
    name: 'lease-gained',
    level: 'info',
    message: 'A majority of the voters backs this node.',
    fields: { version: 'version followed', countsBy: 'the voters counted by' }
  },
  leaseLost: {
    number: 3011,
    name: 'lease-lost',
    level: 'warn',
    message: 'The lease lapsed; nothing is admitted until a majority of the voters answers.',
    fields: { version: 'version followed', countsBy: 'the voters counted by' }
  },
  membershipChanged: {
    number: 3012,
    name: 'membership-changed',
    level: 'info',
    message: 'This node stands otherwise towards the assignment.',
    fields: { from: 'state before', to: 'state now', version: 'version followed' }
  },
  holderSuspected: {
    number: 3020,
    name: 'holder-suspected',
    level: 'warn',
    message: 'A holder was silent for a whole lease; votes for its removal are collected.',
    fields: { holder: 'the silent holder', version: 'version followed' }
  },
  voteGiven: {
    number: 3021,
    name: 'vote-given',
    level: 'info',
    message: 'This voter backs the removal of a holder.',
    fields: { holder: 'the holder', version: 'version that the vote is bound to', to: 'who asked' }
  },
  votersLost: {
    number: 3030,
    name: 'voters-lost',
    level: 'error',
    message: 'A majority of the voters is gone for good; voters are named afresh after one lease.',
    fields: { voters: 'the voters named', gone: 'those that are gone', waits: 'ms until they are named afresh' }
  },
  resourcesUnowned: {
    number: 3040,
    name: 'resources-unowned',
    level: 'warn',
    message: 'Resources have no owner.',
    fields: { count: 'how many', resources: 'the first of them' }
  },
  released: {
    number: 3050,
    name: 'resources-released',
    level: 'info',
    message: 'This node stopped admitting for resources and hands them over.',
    fields: { resources: 'the resources', reason: 'stop, balance, gone or request' }
  },
  invalidMessage: {
    number: 3060,
    name: 'ownership-message-invalid',
    level: 'warn',
    message: 'A message from a node was refused.',
    fields: { from: 'the sender', kind: 'kind of message', findings: 'what is wrong and where' }
  },
  listenerFailed: {
    number: 3061,
    name: 'ownership-listener-failed',
    level: 'error',
    message: 'A listener threw an error.',
    fields: { error: 'what it threw' }
  },
  workFailed: {
    number: 3062,
    name: 'ownership-work-failed',
    level: 'error',
    message: 'Work on the assignment ended with an unexpected error; it is tried again at the next heartbeat.',
    fields: { error: 'what was thrown' }
  }
} as const satisfies Record<string, LogEvent>
