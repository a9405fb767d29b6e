import { objectOf, objectsOf, textOf } from '../utils/json.js'
import type { JsonObject } from '../utils/json.js'
import { layOut } from '../utils/table.js'

/**
 * Renders a node's status for people: what is wrong first, then how the node stands.
 *
 * @param answer - what the node tells
 * @returns lines of text
 */
export function renderStatus (answer: unknown): string {
  const status = objectOf(answer)
  return [...renderProblems(status), '', ...renderNode(status), ...renderClasses(status)].join('\n')
}

function renderProblems (status: JsonObject): string[] {
  const problems = objectsOf(status.problems)
  if (problems.length === 0) return ['nothing is wrong that this node knows of']
  return [`${problems.length} wrong:`, ...problems.flatMap(problem => renderProblem(problem))]
}

function renderProblem (problem: JsonObject): string[] {
  const since = textOf(problem.since)
  const line = `  ${textOf(problem.code)}${since === '' ? '' : ` since ${since}`}: ${textOf(problem.message)}`
  const rule = objectOf(problem.rule)
  if (rule.name === undefined) return [line]
  return [line, `    rule ${textOf(rule.name)} on line ${textOf(rule.line)}, asked for by ${textOf(rule.askedBy)}`]
}

function renderNode (status: JsonObject): string[] {
  const rows = Object.entries(status)
    .filter(([, value]) => typeof value !== 'object')
    .map(([key, value]) => [key, textOf(value)])
  return layOut(rows)
}

function renderClasses (status: JsonObject): string[] {
  const classes = objectsOf(status.classes)
  if (classes.length === 0) return []
  const columns = Object.keys(classes[0]!).filter(column => typeof classes[0]![column] !== 'object')
  const rows = classes.map(entry => columns.map(column => textOf(entry[column])))
  return ['', ...layOut([columns.map(column => column.toUpperCase()), ...rows])]
}
