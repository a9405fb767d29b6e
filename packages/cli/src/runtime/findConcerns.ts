import { objectOf, objectsOf, textOf } from '../utils/json.js'
import type { JsonObject } from '../utils/json.js'

/** Least wait of the oldest request of a class that operators are told about, in ms. */
const LONG_WAIT_MS = 500

/** Something that operators may want to act on, in the shape of a node's problems. */
export interface Concern {
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
export function findConcerns (status: JsonObject): Concern[] {
  const books = objectOf(objectOf(status.admission).books)
  const rules = new Map(objectsOf(status.classes).map(entry => [textOf(entry.name), entry]))
  const waiting = objectsOf(books.classes).filter(entry => numberOf(entry.oldest) >= LONG_WAIT_MS)
  const quarantined = objectsOf(books.workers).filter(entry => entry.state === 'quarantined')
  return [
    ...waiting.sort((a, b) => numberOf(b.priority) - numberOf(a.priority)).map(entry => describeWait(entry, rules.get(textOf(entry.name)))),
    ...quarantined.map(entry => describeQuarantine(entry))
  ]
}

function describeWait (entry: JsonObject, rule: JsonObject | undefined): Concern {
  const name = textOf(entry.name)
  const concern: Concern = {
    code: 'class-waits',
    what: `${textOf(entry.waiting)} of class ${name} wait for room on this node's workers`,
    since: numberOf(entry.oldest),
    advice: 'what would wait longer than its patience is refused as not run; raise the reserve or priority of the class, or add workers'
  }
  if (rule !== undefined) concern.rule = { name, line: textOf(rule.line), askedBy: textOf(rule.askedBy) }
  return concern
}

function describeQuarantine (entry: JsonObject): Concern {
  return {
    code: 'worker-quarantined',
    what: `worker ${textOf(entry.id)} fails far more than its peers and is given no work`,
    since: null,
    advice: 'it is tried again by itself; look at its own log, or let the platform replace it'
  }
}

function numberOf (value: unknown): number {
  return typeof value === 'number' ? value : 0
}
