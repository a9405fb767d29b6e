import type { Step } from '../types/job.js'

/** Number of steps up to which the chains of a job are computed each time, which is cheaper than to look them up. */
const SHORT_JOB_STEPS = 4

/** Lengths of the chains of jobs with many steps, by the ms that are added for each step. */
const knownLengths = new WeakMap<Step[], Map<number, number[]>>()

/**
 * @param steps - steps of a job; the same array must not change
 * @param from - index of the first step to include
 * @param perStep - ms to add for each step
 * @returns estimated duration in ms of the longest chain of steps that depend on each other
 */
export function chainLength (steps: Step[], from: number, perStep = 0): number {
  if (steps.length <= SHORT_JOB_STEPS) return measureChains(steps, perStep)[from] ?? 0
  let byStepDelay = knownLengths.get(steps)
  if (byStepDelay === undefined) knownLengths.set(steps, byStepDelay = new Map())
  let lengths = byStepDelay.get(perStep)
  if (lengths === undefined) {
    // The delay changes only with the terms of the route.
    byStepDelay.clear()
    byStepDelay.set(0, measureChains(steps, 0))
    byStepDelay.set(perStep, lengths = measureChains(steps, perStep))
  }
  return lengths[from] ?? 0
}

/** @returns for each step, the duration in ms of the longest chain of this and later steps; takes time in proportion to the steps and their dependencies */
function measureChains (steps: Step[], perStep: number): number[] {
  const longest: number[] = new Array<number>(steps.length).fill(0)
  let longestSoFar = 0
  for (let index = steps.length - 1; index >= 0; index--) {
    const { estimate, after } = steps[index]!
    // So far, this is the longest chain that depends on the step.
    const length = longest[index]! + estimate + perStep
    for (const earlier of after) if (earlier < index) longest[earlier] = Math.max(longest[earlier] ?? 0, length)
    longestSoFar = Math.max(longestSoFar, length)
    longest[index] = longestSoFar
  }
  return longest
}
