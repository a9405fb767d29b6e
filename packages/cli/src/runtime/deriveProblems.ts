import { toObject, toObjects, toText } from '../utils/json.js'
import type { JsonObject } from '../utils/json.js'

/** Least wait of the oldest request of a class that operators are told about, in ms. */
const LONG_WAIT_MS = 500

/** Something that operators may want to act on, in the shape of a node's problems. */
export interface DerivedProblem {
  code: string
  what: string
  /** Milliseconds since it began; null when not known. */
  since: number | null
  advice: string
  /** Rule behind it, where there is one. */
  rule?: { name: string, line: string, askedBy: string }
}

/**
 * Finds what a node's books show beside the problems that it names itself: classes that wait, and workers in quarantine.
 *
 * @param status - what the node tells
 * @returns concerns, those of the most urgent class first
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
    what: `${toText(entry.waiting)} of class ${name} wait for room on this node's workers`,
    since: toNumber(entry.oldest),
    advice: 'what would wait longer than its patience is refused as not run; raise the reserve or priority of the class, or add workers'
  }
  if (rule !== undefined) problem.rule = { name, line: toText(rule.line), askedBy: toText(rule.askedBy) }
  return problem
}

function createQuarantineProblem (entry: JsonObject): DerivedProblem {
  return {
    code: 'worker-quarantined',
    what: `worker ${toText(entry.id)} fails far more than its peers and is given no work`,
    since: null,
    advice: 'it is tried again by itself; look at its own log, or let the platform replace it'
  }
}

function toNumber (value: unknown): number {
  return typeof value === 'number' ? value : 0
}
