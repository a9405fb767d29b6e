import { toObject, toObjects, toText } from '../utils/json.js'
import type { JsonObject } from '../utils/json.js'

/** A class counts as a problem once its oldest request has waited this long. */
const LONG_WAIT_MS = 500

/** A problem derived from the state of a node, in the format of the problems that the node reports itself. */
export interface DerivedProblem {
  /** Stable identifier of the kind of problem. */
  code: string
  /** What is wrong. */
  what: string
  /** Milliseconds since the problem began; `null` if unknown. */
  since: number | null
  /** What the operator can do. */
  advice: string
  /** Rule that leads to the problem, if there is one. */
  rule?: { name: string, line: string, askedBy: string }
}

/**
 * Derives problems from the admission state of a node, in addition to those that the node reports itself: classes whose
 * requests wait for a long time, and workers in quarantine.
 *
 * @param status - status of the node
 * @returns problems; classes come first, sorted by descending priority
 */
export function deriveProblems (status: JsonObject): DerivedProblem[] {
  const admissionState = toObject(toObject(status.admission).books)
  const rules = new Map(toObjects(status.classes).map(entry => [toText(entry.name), entry]))
  const waitingClasses = toObjects(admissionState.classes).filter(entry => toNumber(entry.oldest) >= LONG_WAIT_MS)
  const quarantinedWorkers = toObjects(admissionState.workers).filter(entry => entry.state === 'quarantined')
  return [
    ...waitingClasses.sort((a, b) => toNumber(b.priority) - toNumber(a.priority)).map(entry => createWaitProblem(entry, rules.get(toText(entry.name)))),
    ...quarantinedWorkers.map(entry => createQuarantineProblem(entry))
  ]
}

function createWaitProblem (entry: JsonObject, rule: JsonObject | undefined): DerivedProblem {
  const name = toText(entry.name)
  const problem: DerivedProblem = {
    code: 'class-waits',
    what: `${toText(entry.waiting)} of class ${name} are waiting for free capacity on this node's workers`,
    since: toNumber(entry.oldest),
    advice: 'work that would wait longer than its patience is refused as not run; raise the reserve or priority of the class, or add workers'
  }
  if (rule !== undefined) problem.rule = { name, line: toText(rule.line), askedBy: toText(rule.askedBy) }
  return problem
}

function createQuarantineProblem (entry: JsonObject): DerivedProblem {
  return {
    code: 'worker-quarantined',
    what: `worker ${toText(entry.id)} fails far more often than its peers and gets no work`,
    since: null,
    advice: 'the node retries it automatically; check the log of the worker, or have the platform replace it'
  }
}

function toNumber (value: unknown): number {
  return typeof value === 'number' ? value : 0
}
