import type { OwnershipStatus } from '@rattanstep/ownership'
import type { NodeState, Problem } from '../types/StatusReport.js'

/** What problems are found from. */
export interface ProblemInput {
  state: NodeState
  ownership: OwnershipStatus
  /** Milliseconds without a lease; 0 while there is one. */
  lapsedFor: number
  /** Milliseconds without an answer of the platform's list; 0 while it answers. */
  listLostFor: number
  rulesReady: boolean
  workers: number
  silentWorkers: Array<{ worker: string, silentFor: number }>
}

/**
 * @param input - the state of one node
 * @returns what an operator may have to act on, the worst first
 */
export function findProblems (input: ProblemInput): Problem[] {
  return [
    ...findRulesProblem(input),
    ...findLeaseProblem(input),
    ...findTableProblem(input),
    ...findListProblem(input),
    ...findUnownedProblem(input),
    ...findSilentWorkerProblems(input),
    ...findNoWorkersProblem(input)
  ]
}

function findRulesProblem ({ rulesReady }: ProblemInput): Problem[] {
  if (rulesReady) return []
  return [{
    code: 'no-rules',
    what: 'no rules are known: neither the table nor another node gave any',
    since: null,
    advice: 'the node keeps asking both; check the platform address and the seeds in its settings'
  }]
}

function findLeaseProblem ({ lapsedFor }: ProblemInput): Problem[] {
  if (lapsedFor === 0) return []
  return [{
    code: 'lease-lapsed',
    what: 'this node has no lease and gives no room on its workers',
    since: lapsedFor,
    advice: 'it asks the voters at every heartbeat; check that it reaches the other nodes\' peer ports'
  }]
}

function findTableProblem ({ ownership }: ProblemInput): Problem[] {
  const { table } = ownership
  if (table === null || table.reachable) return []
  return [{
    code: 'table-down',
    what: 'the platform\'s table does not answer',
    since: table.for,
    advice: 'requests are served on; rules, jobs and owners of workers cannot change until it is back'
  }]
}

function findListProblem ({ listLostFor }: ProblemInput): Problem[] {
  if (listLostFor === 0) return []
  return [{
    code: 'list-down',
    what: 'the platform\'s list of instances does not answer',
    since: listLostFor,
    advice: 'the newest known list is followed; new and leaving instances are not noticed until it is back'
  }]
}

function findUnownedProblem ({ ownership }: ProblemInput): Problem[] {
  if (ownership.unowned.length === 0) return []
  return [{
    code: 'unowned',
    what: `${ownership.unowned.length} workers or key shards have no owner`,
    since: ownership.unownedFor,
    advice: 'they are claimed by themselves once the table answers and the former owner\'s lease has lapsed'
  }]
}

function findSilentWorkerProblems ({ silentWorkers }: ProblemInput): Problem[] {
  return silentWorkers.map(({ worker, silentFor }) => ({
    code: 'worker-silent',
    what: `worker ${worker} does not report what it runs`,
    since: silentFor,
    advice: 'room on it that is not known to be free stays closed; check the worker or let the platform replace it'
  }))
}

function findNoWorkersProblem ({ state, workers }: ProblemInput): Problem[] {
  if (workers > 0 || state === 'starting') return []
  return [{
    code: 'no-workers',
    what: 'the platform lists no worker',
    since: null,
    advice: 'requests are refused as not run; check that the workers are registered with the platform'
  }]
}
