import { Err, fitsResources, Ok } from '@rattanstep/core'
import type { Finding, Instance, Resources, Result } from '@rattanstep/core'
import type { ResolvedClass } from '@rattanstep/rules'
import { z } from 'zod'
import type { ResolvedJob, ResolvedTask } from '../types/job.js'
import type { Tuning } from '../types/tuning.js'
import { findUnschedulableReason } from './findUnschedulableReason.js'

const nonNegative = z.number().min(0)
const MAX_COMMAND_LENGTH = 10_000

const SPEC = z.strictObject({
  id: z.string().regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$/, 'expected 1 to 64 letters, digits, dots, hyphens or underscores'),
  kind: z.enum(['batch', 'gang', 'service']),
  class: z.string().min(1),
  team: z.string().optional(),
  tasks: z.array(z.strictObject({
    command: z.string().min(1).max(MAX_COMMAND_LENGTH),
    resources: z.strictObject({ slots: nonNegative.int(), cores: nonNegative, memory: nonNegative, accelerators: nonNegative.int() }).partial().optional(),
    expected: nonNegative.optional()
  })).min(1)
})

const DEFAULT_RESOURCES: Resources = { slots: 1, cores: 1, memory: 0, accelerators: 0 }

/**
 * Validates a job specification and fills in defaults.
 *
 * @param spec - the job specification, not yet validated
 * @param options - `classes`: classes of the rules; `tuning`: limits; `cell`: all known workers
 * @returns the resolved job, or all findings
 */
export function resolveJob (spec: unknown, options: { classes: ResolvedClass[], tuning: Tuning, cell: Instance[] }): Result<ResolvedJob, Finding[]> {
  const parsed = SPEC.safeParse(spec)
  if (!parsed.success) return Err(parsed.error.issues.map(issue => makeFinding('job-shape', `${issue.path.join('.') || 'the job'}: ${issue.message}; correct it and submit the job again`)))
  const job: ResolvedJob = { ...parsed.data, team: parsed.data.team ?? '', tasks: parsed.data.tasks.map(resolveTask) }
  const findings = [...checkClass(job, options.classes), ...checkTaskCount(job, options.tuning), ...checkResources(job), ...checkSchedulable(job, options.cell)]
  return findings.length === 0 ? Ok(job) : Err(findings)
}

function resolveTask (task: z.infer<typeof SPEC>['tasks'][number]): ResolvedTask {
  return { command: task.command, resources: { ...DEFAULT_RESOURCES, ...task.resources }, expected: task.expected ?? 0 }
}

function checkClass (job: ResolvedJob, classes: ResolvedClass[]): Finding[] {
  const found = classes.find(entry => entry.name === job.class)
  if (found === undefined) {
    const names = classes.filter(entry => entry.kind === job.kind).map(entry => entry.name)
    return [makeFinding('job-class', `class is ${job.class}, which the rules do not name; expected one of ${names.join(', ') || '(none of this kind)'}; add a rule or use another class`)]
  }
  if (found.kind === job.kind) return []
  return [makeFinding('job-kind', `kind is ${job.kind} and class ${job.class} is for ${found.kind}; use a class of kind ${job.kind}`)]
}

function checkTaskCount (job: ResolvedJob, tuning: Tuning): Finding[] {
  const limit = job.kind === 'gang' ? tuning.maxTasksPerGang : tuning.maxTasksPerJob
  if (job.tasks.length <= limit) return []
  return [makeFinding('job-tasks', `the job has ${job.tasks.length} tasks, expected at most ${limit} for kind ${job.kind}; divide it into several jobs`)]
}

function checkResources (job: ResolvedJob): Finding[] {
  const none: Resources = { slots: 0, cores: 0, memory: 0, accelerators: 0 }
  return job.tasks.flatMap((task, index) => {
    if (!fitsResources(task.resources, none)) return []
    return [makeFinding('job-resources', `tasks.${index}.resources are all 0; expected at least one above 0; say what the task needs`)]
  })
}

function checkSchedulable (job: ResolvedJob, cell: Instance[]): Finding[] {
  const reason = findUnschedulableReason(job.kind, job.tasks.map(task => task.resources), cell)
  return reason === null ? [] : [makeFinding('job-never-fits', reason)]
}

function makeFinding (code: string, message: string): Finding {
  return { code, place: { file: 'job', line: 1, column: 1 }, message }
}
