import { SeededRandom } from '@rattanstep/core'
import type { Random } from '@rattanstep/core'
import type { RunPlan, Work, WorkClass } from '../types/work.js'

/** Milliseconds of one swing of demand, crest and trough together. */
const PERIOD = 8000

/** Part of a period that is crest. */
const CREST_PART = 0.25

/** The caller that sends most, and its part of each class. */
export const GREEDY_CALLER = 'caller-0'
const GREEDY_PART = 0.5

/** Part of waiting and running work that a wave of cancellations takes. */
const WAVE_PART = 0.4

/**
 * Draws the work of one run: Poisson arrivals for each class, whose rate follows the swing where the class swings.
 *
 * @param plan - the run
 * @returns work in order of arrival
 */
export function generateWork (plan: RunPlan): Work[] {
  const { desk, load, duration } = plan
  const random = new SeededRandom(plan.seed)
  const meanSize = desk.classes.reduce((sum, kind) => sum + kind.count * kind.mean, 0)
  const rate = load * desk.workers * desk.slots / meanSize
  const works: Work[] = []
  for (const kind of desk.classes) {
    const crest = kind.swings ? plan.crest : 1
    for (let time = 0; ;) {
      time += random.exponential(1 / (rate * kind.count * crest))
      if (time >= duration) break
      if (random.next() * crest < swing(time, crest)) works.push(draw(kind, time, random))
    }
  }
  works.sort((a, b) => a.arrival - b.arrival)
  works.forEach((work, index) => { work.id = index })
  if (plan.waves > 0) withdraw(works, plan, random)
  return works
}

/**
 * @param time - ms
 * @param crest - demand at the crest relative to its mean
 * @returns whether it is crest time, as the demand relative to its mean
 */
export function swing (time: number, crest: number): number {
  if (crest === 1) return 1
  return isCrest(time) ? crest : (1 - CREST_PART * crest) / (1 - CREST_PART)
}

/**
 * @param time - ms
 * @returns whether demand that swings is at its crest
 */
export function isCrest (time: number): boolean {
  return time % PERIOD < CREST_PART * PERIOD
}

function draw (kind: WorkClass, arrival: number, random: Random): Work {
  const caller = random.next() < GREEDY_PART ? GREEDY_CALLER : `caller-${1 + random.integer(kind.callers)}`
  const size = kind.size(random.next(), random.next())
  return {
    id: 0,
    class: kind.rule.name,
    caller,
    arrival,
    size,
    left: size,
    patience: kind.rule.patience,
    withdrawn: Infinity,
    state: 'new',
    started: NaN,
    attempts: 0,
    returned: false
  }
}

function withdraw (works: Work[], plan: RunPlan, random: Random): void {
  for (const work of works) {
    const wave = Math.ceil(work.arrival / plan.waves) * plan.waves
    if (wave - work.arrival < work.patience && random.next() < WAVE_PART) work.withdrawn = wave
  }
}
