import type { OwnershipStatus } from '@rattanstep/ownership'
import type { NodeState, Problem } from '../types/StatusReport.js'

/** State of one node from which problems are derived. */
export interface ProblemInput {
  state: NodeState
  ownership: OwnershipStatus
  /** Milliseconds since the lease lapsed; 0 while the node holds one. */
  lapsedFor: number
  /** Milliseconds since the platform's instance list stopped answering; 0 while it answers. */
  listLostFor: number
  rulesReady: boolean
  workers: number
  silentWorkers: Array<{ worker: string, silentFor: number }>
}

/**
 * @param input - the state of one node
 * @returns problems that an operator may have to act on, most severe first
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
    what: 'no rules are known: neither the table nor another node has supplied any',
    since: null,
    advice: 'the node keeps requesting them from both; check the platform address and the seeds in its settings'
  }]
}

function findLeaseProblem ({ lapsedFor }: ProblemInput): Problem[] {
  if (lapsedFor === 0) return []
  return [{
    code: 'lease-lapsed',
    what: 'this node has no lease and admits no work to its workers',
    since: lapsedFor,
    advice: 'it requests one from the voters at every heartbeat; check that it can reach the other nodes\' peer ports'
  }]
}

function findTableProblem ({ ownership }: ProblemInput): Problem[] {
  const { table } = ownership
  if (table === null || table.reachable) return []
  return [{
    code: 'table-down',
    what: 'the platform\'s table does not answer',
    since: table.for,
    advice: 'requests are still served; rules, jobs and owners of workers cannot change until the table answers again'
  }]
}

function findListProblem ({ listLostFor }: ProblemInput): Problem[] {
  if (listLostFor === 0) return []
  return [{
    code: 'list-down',
    what: 'the platform\'s instance list does not answer',
    since: listLostFor,
    advice: 'the last known list is used; new and leaving instances are not noticed until it answers again'
  }]
}

function findUnownedProblem ({ ownership }: ProblemInput): Problem[] {
  if (ownership.unowned.length === 0) return []
  return [{
    code: 'unowned',
    what: `${ownership.unowned.length} workers or key shards have no owner`,
    since: ownership.unownedFor,
    advice: 'nodes claim them automatically once the table answers and the lease of the former owner has lapsed'
  }]
}

function findSilentWorkerProblems ({ silentWorkers }: ProblemInput): Problem[] {
  return silentWorkers.map(({ worker, silentFor }) => ({
    code: 'worker-silent',
    what: `worker ${worker} does not report what it runs`,
    since: silentFor,
    advice: 'capacity on it that is not known to be free is not used; check the worker or let the platform replace it'
  }))
}

function findNoWorkersProblem ({ state, workers }: ProblemInput): Problem[] {
  if (workers > 0 || state === 'starting') return []
  return [{
    code: 'no-workers',
    what: 'the platform lists no worker',
    since: null,
    advice: 'requests are refused with outcome not-run; check that the workers are registered with the platform'
  }]
}
