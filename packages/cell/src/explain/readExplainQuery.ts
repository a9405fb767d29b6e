import { Err, Ok } from 'ts-results-es'
import type { Result } from 'ts-results-es'
import type { ExplainQuery } from '../types/explain.js'
import type { Step } from '../types/job.js'

/** Maximum length of the query text; a request line of this size is below the limit of Node.js. */
const MAX_QUERY_LENGTH = 8192
/** Maximum number of steps of a job that nobody has submitted. */
const MAX_QUERY_STEPS = 32
const FLAGS = ['gang', 'checkpoints', 'sameRack', 'lasting', 'filling'] as const
const TEXTS = ['label', 'dataRack'] as const

/**
 * Reads the query `job=ID`, or `route=NAME&steps=JSON` with an optional `organisation=NAME`.
 *
 * @param path - path and query of a request
 * @returns the query, or why it can't be read
 */
export function readExplainQuery (path: string): Result<ExplainQuery, string> {
  if (path.length > MAX_QUERY_LENGTH) return Err(`the query is longer than ${MAX_QUERY_LENGTH} characters`)
  const query = new URL(path, 'http://localhost').searchParams
  const job = query.get('job')
  if (job !== null) return /^[0-9a-f]{16}$/.test(job) ? Ok({ job }) : Err('job is not an id of 16 hexadecimal digits')
  const route = query.get('route')
  if (route === null) return Err('the query names neither a job nor a route')
  const steps = readSteps(query.get('steps') ?? '[{}]')
  const organisation = query.get('organisation')
  return steps.map(each => ({ route, steps: each, ...(organisation === null ? {} : { organisation }) }))
}

function readSteps (text: string): Result<Step[], string> {
  let value: unknown
  try {
    value = JSON.parse(text)
  } catch {
    return Err('steps is not JSON')
  }
  if (!Array.isArray(value) || value.length === 0 || value.length > MAX_QUERY_STEPS) return Err(`steps is not a list of 1 to ${MAX_QUERY_STEPS} steps`)
  const steps: Step[] = []
  for (const [index, each] of value.entries()) {
    const step = readStep(each, index)
    if (step === undefined) return Err(`step ${index} is not an object with the fields of a step`)
    steps.push(step)
  }
  return Ok(steps)
}

function readStep (value: unknown, index: number): Step | undefined {
  if (typeof value !== 'object' || value === null || Array.isArray(value)) return undefined
  const { size = {}, after = [], ...fields } = value as Record<string, unknown>
  if (typeof size !== 'object' || size === null || !Array.isArray(after)) return undefined
  const { cpu = 1000, memory = 100, accelerators = 0 } = size as Record<string, unknown>
  const { count = 1, estimate = 1000, perWorker } = fields
  const amounts = [cpu, memory, accelerators, estimate]
  if (!amounts.every(amount => typeof amount === 'number' && Number.isFinite(amount) && amount >= 0)) return undefined
  if (!isCount(count) || (perWorker !== undefined && !isCount(perWorker))) return undefined
  if (!after.every(earlier => Number.isInteger(earlier) && earlier >= 0 && earlier < index)) return undefined
  if (FLAGS.some(name => fields[name] !== undefined && typeof fields[name] !== 'boolean') || TEXTS.some(name => fields[name] !== undefined && typeof fields[name] !== 'string')) return undefined
  return { checkpoints: false, gang: false, sameRack: false, lasting: false, filling: false, ...fields, count, estimate, size: { cpu, memory, accelerators }, after } as Step
}

function isCount (value: unknown): value is number {
  return Number.isSafeInteger(value) && (value as number) > 0
}
