import { formatDuration } from '../utils/duration.js'
import { objectOf, objectsOf, textOf } from '../utils/json.js'
import type { JsonObject } from '../utils/json.js'
import { layOut } from '../utils/table.js'
import { findConcerns } from './findConcerns.js'

/**
 * Renders a node's status for people: what is wrong first, then how the node stands.
 *
 * @param answer - what the node tells
 * @param now - wall-clock time in ms since 1970
 * @returns lines of text
 */
export function renderStatus (answer: unknown, now: number): string {
  const status = objectOf(answer)
  return [...renderProblems(status, now), '', ...renderNode(status), ...renderClasses(status)].join('\n')
}

function renderProblems (status: JsonObject, now: number): string[] {
  const problems = [...objectsOf(status.problems), ...findConcerns(status).map(concern => objectOf(concern))]
  if (problems.length === 0) return ['nothing is wrong that this node knows of']
  return [`WRONG (${problems.length}, worst first):`, ...problems.flatMap(problem => renderProblem(problem, now))]
}

function renderProblem (problem: JsonObject, now: number): string[] {
  const lines = [`  ${textOf(problem.code)}: ${textOf(problem.what)}${renderSince(problem.since, now)}`]
  const rule = objectOf(problem.rule)
  if (rule.name !== undefined) lines.push(`    rule ${textOf(rule.name)} on line ${textOf(rule.line)}, asked for by ${textOf(rule.askedBy)}`)
  if (textOf(problem.advice) !== '') lines.push(`    ${textOf(problem.advice)}`)
  return lines
}

function renderSince (since: unknown, now: number): string {
  if (typeof since !== 'number') return ''
  return `, for ${formatDuration(since)}, since ${new Date(now - since).toISOString().slice(0, 19)}Z`
}

function renderNode (status: JsonObject): string[] {
  const fleet = objectOf(status.fleet)
  const load = objectOf(objectOf(status.admission).load)
  const front = objectOf(status.front)
  const uptime = typeof status.uptime === 'number' ? formatDuration(status.uptime) : 'unknown'
  return layOut([
    ['node', `${textOf(status.node)}, ${textOf(status.state)}, up ${uptime}`],
    ['cell', `${textOf(status.cell)}, data centre ${textOf(status.dataCentre)}`],
    ['rules', `version ${textOf(objectOf(status.rules).version, '?')}`],
    ['callers', `${textOf(front.inFlight, '?')} requests in flight at ${textOf(front.address)}`],
    ['workers', `${textOf(fleet.workers, '?')} listed, ${textOf(fleet.leaving, '?')} leaving`],
    ['owned room', `${textOf(load.free, '?')} of ${textOf(load.slots, '?')} slots free`]
  ])
}

function renderClasses (status: JsonObject): string[] {
  const classes = objectsOf(status.classes)
  if (classes.length === 0) return []
  const books = new Map(objectsOf(objectOf(objectOf(status.admission).books).classes).map(entry => [textOf(entry.name), entry]))
  const rows = classes.map(entry => renderClass(entry, books.get(textOf(entry.name)) ?? {}))
  return ['', ...layOut([['CLASS', 'PRIORITY', 'WAITING', 'IN USE', 'MEAN', 'P99', 'ASKED FOR BY'], ...rows])]
}

function renderClass (entry: JsonObject, book: JsonObject): string[] {
  const time = (value: unknown): string => typeof value === 'number' ? formatDuration(value) : '-'
  return [
    textOf(entry.name),
    textOf(entry.priority),
    textOf(book.waiting, textOf(entry.waiting)),
    textOf(book.inUse, '-'),
    time(book.meanTime),
    time(book.p99Time),
    `line ${textOf(entry.line)}: ${textOf(entry.askedBy)}`
  ]
}
