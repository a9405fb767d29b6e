import type { Step } from '../../src/types/job.js'
import { Registry } from '../../src/runtime/Registry.js'
import { decodeSubmission, encodeSubmission } from '../../src/runtime/submissionRow.js'
import { stepOf } from '../support/CellRig.js'

/** Shapes of jobs, with the number of jobs to measure. */
const SHAPES: Array<{ name: string, jobs: number, spec: number, steps: Step[] }> = [
  { name: '1 task', jobs: 5000, spec: 1, steps: [stepOf({})] },
  { name: '1 task, 3,900 characters of text', jobs: 2000, spec: 3900, steps: [stepOf({})] },
  { name: '1,000 tasks', jobs: 100, spec: 1, steps: [stepOf({ count: 1000 })] },
  { name: '10,000 tasks', jobs: 10, spec: 1, steps: [stepOf({ count: 10_000 })] },
  { name: '10 steps of 10 tasks, in turn', jobs: 1000, spec: 1, steps: Array.from({ length: 10 }, (_, index) => stepOf({ count: 10, after: index === 0 ? [] : [index - 1] })) },
  { name: '60 steps of 40 tasks', jobs: 40, spec: 1, steps: Array.from({ length: 60 }, () => stepOf({ count: 40 })) }
]

function heapUsed (): number {
  globalThis.gc!()
  return process.memoryUsage().heapUsed
}

/** @returns bytes of heap that a job takes at a decider before any of its tasks is placed */
function measure ({ jobs, spec, steps }: typeof SHAPES[number]): number {
  const before = heapUsed()
  const registry = new Registry()
  for (let index = 0; index < jobs; index++) {
    // A decider holds what it has decoded from a message or a row.
    const job = decodeSubmission(encodeSubmission({ id: index.toString(16).padStart(16, '0'), route: 'r', spec: 'x'.repeat(spec), steps, acceptedAt: 0 })).unwrap()
    registry.addJob(job, { now: 0, age: 0, wall: 0 })
  }
  const bytes = (heapUsed() - before) / jobs
  return registry.jobs.size === jobs ? bytes : NaN
}

console.log('| job | bytes a job | bytes a task |\n| --- | --- | --- |')
for (const shape of SHAPES) {
  const bytes = measure(shape)
  const tasks = shape.steps.reduce((sum, { count }) => sum + count, 0)
  console.log(`| ${shape.name} | ${bytes.toFixed(0)} | ${(bytes / tasks).toFixed(0)} |`)
}
