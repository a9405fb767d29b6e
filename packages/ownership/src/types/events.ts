import type { LogEvent } from '@rattanstep/telemetry'

/** Log events of this package; their numbers are 3000 to 3999. */
export const EVENTS = {
  assignmentAdopted: {
    number: 3000,
    name: 'assignment-adopted',
    level: 'info',
    message: 'This node adopted a newer assignment.',
    fields: {
      version: 'the version adopted',
      previous: 'the version before',
      source: 'where it came from: table, peer or own write',
      owned: 'number of resources that this node owns',
      voters: 'the voters named in it'
    }
  },
  assignmentWritten: {
    number: 3001,
    name: 'assignment-written',
    level: 'info',
    message: 'This node wrote a new version of the assignment.',
    fields: { version: 'the version written', changes: 'the changes, one line each' }
  },
  assignmentConflict: {
    number: 3002,
    name: 'assignment-conflict',
    level: 'info',
    message: 'Another node changed the assignment first; this node plans its change again on the new version.',
    fields: { version: 'the version that this node tried to write', changes: 'the changes that were not written' }
  },
  assignmentUncertain: {
    number: 3003,
    name: 'assignment-uncertain',
    level: 'warn',
    message: 'The table did not confirm a write of the assignment, and the write is not visible in the row; it may still take effect.',
    fields: { version: 'the version that this node tried to write', changes: 'the changes that may still take effect' }
  },
  assignmentUnreadable: {
    number: 3004,
    name: 'assignment-unreadable',
    level: 'error',
    message: 'The assignment row is invalid; this node does not change the assignment until the row is valid.',
    fields: { findings: 'what is wrong and where' }
  },
  tableUnreachable: {
    number: 3005,
    name: 'table-unreachable',
    level: 'warn',
    message: 'A call to the table failed; owners keep serving, but no resource changes its owner until the table answers.',
    fields: { fault: 'kind of fault', detail: 'reason given by the table', retryIn: 'ms until the next attempt' }
  },
  tableReachable: {
    number: 3006,
    name: 'table-reachable',
    level: 'info',
    message: 'The table answers again.',
    fields: { after: 'ms since the first failed call' }
  },
  leaseGained: {
    number: 3010,
    name: 'lease-gained',
    level: 'info',
    message: 'This node gained a lease from a majority of the voters.',
    fields: { version: 'version of the assignment', countsBy: 'the voter set that the lease relies on' }
  },
  leaseLost: {
    number: 3011,
    name: 'lease-lost',
    level: 'warn',
    message: 'The lease of this node lapsed; it admits nothing until a majority of the voters answers its heartbeats.',
    fields: { version: 'version of the assignment', countsBy: 'the voter set that the lease relies on' }
  },
  membershipChanged: {
    number: 3012,
    name: 'membership-changed',
    level: 'info',
    message: 'The membership state of this node changed.',
    fields: { from: 'state before', to: 'state now', version: 'version of the assignment' }
  },
  holderSuspected: {
    number: 3020,
    name: 'holder-suspected',
    level: 'warn',
    message: 'A holder sent no heartbeat for a whole lease; this voter requests votes for its removal.',
    fields: { holder: 'the silent holder', version: 'version of the assignment' }
  },
  voteGiven: {
    number: 3021,
    name: 'vote-given',
    level: 'info',
    message: 'This voter voted for the removal of a holder.',
    fields: { holder: 'the holder', version: 'version of the assignment that the vote applies to', to: 'the node that requested the vote' }
  },
  votersLost: {
    number: 3030,
    name: 'voters-lost',
    level: 'error',
    message: 'A majority of a voter set appears to have ended for good; unless it returns, the set counts as lost after the delay.',
    fields: { voters: 'the voter set', gone: 'its voters that have ended', waits: 'ms until the set counts as lost' }
  },
  resourcesUnowned: {
    number: 3040,
    name: 'resources-unowned',
    level: 'warn',
    message: 'Resources have no owner.',
    fields: { count: 'number of resources', resources: 'the first of them' }
  },
  released: {
    number: 3050,
    name: 'resources-released',
    level: 'info',
    message: 'This node stopped admitting for resources in order to hand them over.',
    fields: { resources: 'the resources', reason: 'stop, balance, gone or request' }
  },
  invalidMessage: {
    number: 3060,
    name: 'ownership-message-invalid',
    level: 'warn',
    message: 'A message from another node is invalid and was ignored.',
    fields: { from: 'the sender', kind: 'kind of message', findings: 'what is wrong and where' }
  },
  listenerFailed: {
    number: 3061,
    name: 'ownership-listener-failed',
    level: 'error',
    message: 'A listener of the assignment or of heartbeats threw an error.',
    fields: { error: 'the error thrown' }
  },
  workFailed: {
    number: 3062,
    name: 'ownership-work-failed',
    level: 'error',
    message: 'A round of reading and changing the assignment failed unexpectedly; it is tried again at the next heartbeat.',
    fields: { error: 'the error thrown' }
  }
} as const satisfies Record<string, LogEvent>
