import { Err, Ok } from '@rattanstep/core'
import type { Finding, Result } from '@rattanstep/core'
import { isMap, isSeq } from 'yaml'
import type { Document, Node, Pair, YAMLMap } from 'yaml'
import type { ResolvedJobFile, ResolvedTaskGroup } from '../types/jobFile.js'
import { readDocument } from './readDocument.js'
import { offsetOf, readFields } from './readFields.js'
import { JOB_SCHEMA, TASK_SCHEMA } from './schema.js'
import { Source } from './Source.js'

/** Largest number of entries of `tasks`. It is checked before the entries are read, which limits the time spent on a file that is refused anyway. */
const MAX_TASK_GROUPS = 1000
/** Largest number of tasks of one job, summed over all entries. */
const MAX_TASKS = 1000

/**
 * Reads a job file.
 *
 * @param text - contents of the job file
 * @param options - `file`: file name that findings give
 * @returns the job with every default filled in, or all findings, sorted by position
 */
export function parseJob (text: string, options: { file: string }): Result<ResolvedJobFile, Finding[]> {
  const source = new Source(text, options.file)
  const document = readDocument(source)
  if (document === null || source.findings.length > 0) return Err(source.sortedFindings())
  const job = readJob(source, document)
  return job === null || source.findings.length > 0 ? Err(source.sortedFindings()) : Ok(job)
}

function readJob (source: Source, document: Document): ResolvedJobFile | null {
  const { contents } = document
  if (contents === null || !isMap(contents)) {
    source.report('not-a-map', offsetOf(contents as Node | null), `expected a map with the keys ${Object.keys(JOB_SCHEMA).join(', ')}, tasks`)
    return null
  }
  const { map, tasks, duplicateKey } = extractTasks(contents as YAMLMap)
  if (duplicateKey !== null) source.report('duplicate-key', offsetOf(duplicateKey), 'tasks is given twice; merge the two lists')
  const fields = readFields(source, map, JOB_SCHEMA)
  const groups = readTaskGroups(source, tasks, contents)
  if (!fields.isComplete || groups === null) return null
  return { ...fields.values, tasks: groups } as ResolvedJobFile
}

/** Separates `tasks` from the other keys, because the schema of a job describes single values only. */
function extractTasks (contents: YAMLMap): { map: YAMLMap, tasks: Pair<Node, Node | null> | null, duplicateKey: Node | null } {
  const pairs = contents.items as Array<Pair<Node, Node | null>>
  const isTasks = (pair: Pair<Node, Node | null>): boolean => String(pair.key) === 'tasks'
  const found = pairs.filter(isTasks)
  const map = contents.clone() as YAMLMap
  map.items = pairs.filter(pair => !isTasks(pair))
  return { map, tasks: found[0] ?? null, duplicateKey: found[1]?.key ?? null }
}

function readTaskGroups (source: Source, tasks: Pair<Node, Node | null> | null, contents: Node): ResolvedTaskGroup[] | null {
  const value = tasks?.value ?? null
  const tasksOffset = offsetOf(value, tasks?.key ?? contents)
  if (!isSeq(value) || value.items.length === 0) {
    source.report('missing-key', tasksOffset, 'tasks is missing, empty or not a list; add tasks: with one - { command: … } for each kind of task')
    return null
  }
  if (value.items.length > MAX_TASK_GROUPS) {
    source.report('too-many', tasksOffset, `tasks has ${value.items.length} entries, at most ${MAX_TASK_GROUPS} are allowed; use count for identical tasks`)
    return null
  }
  const groups = value.items.map(item => readTaskGroup(source, item as Node, value))
  const count = groups.reduce((sum, group) => sum + (group?.count ?? 0), 0)
  if (count > MAX_TASKS) source.report('too-many', tasksOffset, `the job has ${count} tasks, at most ${MAX_TASKS} are allowed; split the job`)
  return groups.includes(null) ? null : groups as ResolvedTaskGroup[]
}

function readTaskGroup (source: Source, item: Node, list: Node): ResolvedTaskGroup | null {
  if (!isMap(item)) {
    source.report('not-a-map', offsetOf(item, list), 'each entry of tasks must be a map: - { command: …, count: 1 }')
    return null
  }
  const fields = readFields(source, item as YAMLMap, TASK_SCHEMA)
  return fields.isComplete ? fields.values as ResolvedTaskGroup : null
}
