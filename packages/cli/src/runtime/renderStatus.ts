import { formatDuration } from '../utils/formatDuration.js'
import { toObject, toObjects, toText } from '../utils/json.js'
import type { JsonObject } from '../utils/json.js'
import { formatTable } from '../utils/formatTable.js'
import { deriveProblems } from './deriveProblems.js'

/**
 * Renders the status of a node as text: first its problems, then the state of the node and its classes.
 *
 * @param answer - status of the node
 * @param now - current time in milliseconds since 1970
 * @returns several lines of text
 */
export function renderStatus (answer: unknown, now: number): string {
  const status = toObject(answer)
  return [...renderProblems(status, now), '', ...renderNode(status), ...renderClasses(status)].join('\n')
}

function renderProblems (status: JsonObject, now: number): string[] {
  const problems = [...toObjects(status.problems), ...deriveProblems(status).map(problem => toObject(problem))]
  if (problems.length === 0) return ['this node knows of no problems']
  return [`WRONG (${problems.length}, worst first):`, ...problems.flatMap(problem => renderProblem(problem, now))]
}

function renderProblem (problem: JsonObject, now: number): string[] {
  const lines = [`  ${toText(problem.code)}: ${toText(problem.what)}${renderSince(problem.since, now)}`]
  const rule = toObject(problem.rule)
  if (rule.name !== undefined) lines.push(`    rule ${toText(rule.name)} on line ${toText(rule.line)}, asked for by ${toText(rule.askedBy)}`)
  if (toText(problem.advice) !== '') lines.push(`    ${toText(problem.advice)}`)
  return lines
}

function renderSince (since: unknown, now: number): string {
  if (typeof since !== 'number') return ''
  return `, for ${formatDuration(since)}, since ${new Date(now - since).toISOString().slice(0, 19)}Z`
}

function renderNode (status: JsonObject): string[] {
  const fleet = toObject(status.fleet)
  const load = toObject(toObject(status.admission).load)
  const front = toObject(status.front)
  const uptime = typeof status.uptime === 'number' ? formatDuration(status.uptime) : 'unknown'
  return formatTable([
    ['node', `${toText(status.node)}, ${toText(status.state)}, up ${uptime}`],
    ['cell', `${toText(status.cell)}, data centre ${toText(status.dataCentre)}`],
    ['rules', `version ${toText(toObject(status.rules).version, '?')}`],
    ['callers', `${toText(front.inFlight, '?')} requests in flight at ${toText(front.address)}`],
    ['workers', `${toText(fleet.workers, '?')} listed, ${toText(fleet.leaving, '?')} leaving`],
    ['owned slots', `${toText(load.free, '?')} of ${toText(load.slots, '?')} free`]
  ])
}

function renderClasses (status: JsonObject): string[] {
  const classes = toObjects(status.classes)
  if (classes.length === 0) return []
  const classStates = new Map(toObjects(toObject(toObject(status.admission).books).classes).map(entry => [toText(entry.name), entry]))
  const rows = classes.map(entry => renderClass(entry, classStates.get(toText(entry.name)) ?? {}))
  return ['', ...formatTable([['CLASS', 'PRIORITY', 'WAITING', 'IN USE', 'MEAN', 'P99', 'ASKED FOR BY'], ...rows])]
}

function renderClass (entry: JsonObject, classState: JsonObject): string[] {
  const formatTime = (value: unknown): string => typeof value === 'number' ? formatDuration(value) : '-'
  return [
    toText(entry.name),
    toText(entry.priority),
    toText(classState.waiting, toText(entry.waiting)),
    toText(classState.inUse, '-'),
    formatTime(classState.meanTime),
    formatTime(classState.p99Time),
    `line ${toText(entry.line)}: ${toText(entry.askedBy)}`
  ]
}
