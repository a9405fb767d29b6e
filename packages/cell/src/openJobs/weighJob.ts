import type { WeighedJob } from '@rattanstep/policy'
import type { Job, Step } from '../types/job.js'

/** Bytes that a decider holds for a job, without its text and steps. `npm run bench:jobs` measures them. */
const JOB_BYTES = 1000
/** Bytes for each step. */
const STEP_BYTES = 600
/** Bytes for each task of a step: a mark once it is done, with the growth of the list of marks. */
const TASK_BYTES = 16
/** Bytes for each number of an earlier step that a step names. */
const DEPENDENCY_BYTES = 8

/** Matches a character that makes a string take two bytes for each of its characters. */
const BEYOND_LATIN_1 = /[\u0100-\uffff]/

/**
 * @param job - a submitted job
 * @returns estimated bytes that a decider holds for the job while it is open, without the objects of tasks that run, and the holder to whom they are charged
 */
export function weighJob ({ spec, steps, organisation, route }: Pick<Job, 'spec' | 'steps' | 'organisation' | 'route'>): WeighedJob {
  let weight = JOB_BYTES + textBytes(spec)
  for (const step of steps) weight += weighStep(step)
  return { weight, holder: organisation ?? route }
}

function weighStep ({ count, after, label = '', dataRack = '' }: Step): number {
  return STEP_BYTES + TASK_BYTES * count + DEPENDENCY_BYTES * after.length + textBytes(label) + textBytes(dataRack)
}

/** @returns bytes that a string takes: its characters take two each if one of them is not in Latin-1 */
function textBytes (text: string): number {
  return BEYOND_LATIN_1.test(text) ? 2 * text.length : text.length
}
