import { Err, Ok } from '@rattanstep/core'
import type { Result } from '@rattanstep/core'
import type { LogEvent } from '@rattanstep/telemetry'
import { toObject, toText } from '../utils/json.js'
import type { JsonObject } from '../utils/json.js'
import { formatTable } from '../utils/formatTable.js'
import { findEvent } from './readCatalogue.js'

/** Fields that every log line has. */
const COMMON_FIELDS = ['level', 'time', 'node', 'event', 'name', 'msg']

/**
 * Explains a log line in words.
 *
 * @param line - one line of a node's log
 * @returns the explanation, in several lines of text, or why the line cannot be explained
 */
export function explainLine (line: string): Result<string, string> {
  const fields = parseLine(line)
  if (fields === null) return Err(`${JSON.stringify(line.slice(0, 60))} was given, expected one JSON object from a node's log; put it in single quotes`)
  const event = typeof fields.event === 'number' ? findEvent(fields.event) : null
  if (event === null) return Err(`event ${toText(fields.event, '(none)')} is not in the catalogue; see docs/logs.md, and check which version the node runs`)
  return Ok([describeEvent(event, fields), ...describeFields(event, fields)].join('\n'))
}

function describeEvent (event: LogEvent, fields: JsonObject): string {
  const when = typeof fields.time === 'number' ? `${new Date(fields.time).toISOString()} ` : ''
  const where = toText(fields.node) === '' ? '' : `${toText(fields.node)} `
  return `${when}${where}${event.level}: ${event.message} (${event.number} ${event.name})`
}

function describeFields (event: LogEvent, fields: JsonObject): string[] {
  const named = Object.keys(event.fields).filter(key => key in fields)
  const others = Object.keys(fields).filter(key => !COMMON_FIELDS.includes(key) && !named.includes(key))
  return formatTable([...named, ...others].map(key => ['  ' + key, formatValue(fields[key]), event.fields[key] ?? '']))
}

function formatValue (value: unknown): string {
  return typeof value === 'string' ? value : JSON.stringify(value)
}

function parseLine (line: string): JsonObject | null {
  try {
    const value: unknown = JSON.parse(line)
    return typeof value === 'object' && value !== null && !Array.isArray(value) ? toObject(value) : null
  } catch {
    return null
  }
}
