import type { Size } from '../types/job.js'
import type { Explanation, StepExplanation, UnfitReason } from '../types/explain.js'

const UNFIT_TEXTS: Record<UnfitReason, string> = {
  unusable: 'not ready, not answering, suspended or with runs not on record',
  isolated: 'kept free for a task under which a worker has crashed',
  label: 'without the label',
  rejected: 'not allowed by the advice service',
  'too-small': 'too small for a task',
  full: 'full',
  held: 'held for a gang'
}

/** @returns an explanation as text for people */
export function renderExplanation ({ phase, refusal, steps, omitted, pending }: Explanation): string {
  const lines = [`phase: ${phase}`]
  if (refusal !== undefined) lines.push(`would be refused: ${refusal}`)
  for (const step of steps) lines.push('', ...renderStep(step))
  if (omitted > 0) lines.push('', `${omitted} more ready steps are not shown`)
  if (pending > 0) lines.push('', `${pending} steps wait for others of the job`)
  return lines.join('\n')
}

function renderStep ({ step, rank, tasksBefore, lateness, timeLeft, wait, fitting, examples, unfit, cap, projectedStart }: StepExplanation): string[] {
  const lines = [
    `step ${step}`,
    `  rank: ${rank}, after ${tasksBefore} waiting tasks; ${lateness}, ${timeLeft} ms until the objective`,
    `  waiting tasks: ${wait.waiting}; reason: ${wait.reason}`,
    `  workers that fit: ${fitting}${examples.map(({ worker, tasks, speed }) => `; ${worker} (${tasks} tasks, speed ${speed.toFixed(2)})`).join('')}`
  ]
  for (const [reason, entry] of Object.entries(unfit)) lines.push(`  workers that don't: ${entry.workers} ${UNFIT_TEXTS[reason as UnfitReason]} (${entry.examples.join(', ')}${entry.workers > entry.examples.length ? ', ...' : ''})`)
  if (cap !== undefined) lines.push(`  cap of ${cap.organisation}: ${renderSize(cap.cap)}; running: ${renderSize(cap.used)}; room for ${cap.startable ?? 'any number of'} tasks`)
  lines.push(`  projected start: ${projectedStart === null ? 'not as things are' : `in ${projectedStart} ms, if no step of a higher rank takes the room`}`)
  return lines
}

function renderSize ({ cpu, memory, accelerators }: Size): string {
  return `cpu ${cpu}, memory ${memory} MB, accelerators ${accelerators}`
}
