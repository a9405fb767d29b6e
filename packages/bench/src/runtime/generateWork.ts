import { SeededRandom } from '@rattanstep/core'
import type { Random } from '@rattanstep/core'
import type { RunPlan, Work, WorkClass } from '../types/work.js'

/** Period of varying demand, which consists of one peak and one trough. */
const DEMAND_PERIOD_MS = 8000

/** Fraction of a period that is peak time. */
const PEAK_FRACTION = 0.25

/** Name of the caller that sends the most work. */
export const GREEDY_CALLER = 'caller-0'

/** Fraction of the items of each class that `GREEDY_CALLER` sends. */
const GREEDY_FRACTION = 0.5

/** Probability that a wave of cancellations withdraws an item. Items whose patience ends before the wave are not withdrawn. */
const WAVE_FRACTION = 0.4

/**
 * Draws the work of one run, with Poisson arrivals for each class. The rate of classes with peaks varies over time.
 *
 * @param plan - the run
 * @returns work in order of arrival
 */
export function generateWork (plan: RunPlan): Work[] {
  const { workload, load, duration } = plan
  const random = new SeededRandom(plan.seed)
  const meanRunTime = workload.classes.reduce((sum, kind) => sum + kind.share * kind.meanRunTime, 0)
  const rate = load * workload.workers * workload.slots / meanRunTime
  const works: Work[] = []
  for (const kind of workload.classes) {
    const peakDemand = kind.hasPeaks ? plan.peakDemand : 1
    // Draws arrivals at the peak rate and accepts each with the probability of demand relative to peak demand.
    for (let time = 0; ;) {
      time += random.exponential(1 / (rate * kind.share * peakDemand))
      if (time >= duration) break
      if (random.next() * peakDemand < relativeDemand(time, peakDemand)) works.push(drawWork(kind, time, random))
    }
  }
  works.sort((a, b) => a.arrival - b.arrival)
  works.forEach((work, index) => { work.id = index })
  if (plan.waveInterval > 0) addWithdrawals(works, plan, random)
  return works
}

/**
 * @param time - simulated time in ms
 * @param peakDemand - peak demand relative to the mean; 1 for steady demand
 * @returns demand at that time relative to the mean
 */
export function relativeDemand (time: number, peakDemand: number): number {
  if (peakDemand === 1) return 1
  return isPeak(time) ? peakDemand : (1 - PEAK_FRACTION * peakDemand) / (1 - PEAK_FRACTION)
}

/**
 * @param time - simulated time in ms
 * @returns whether varying demand is at its peak
 */
export function isPeak (time: number): boolean {
  return time % DEMAND_PERIOD_MS < PEAK_FRACTION * DEMAND_PERIOD_MS
}

function drawWork (kind: WorkClass, arrival: number, random: Random): Work {
  const caller = random.next() < GREEDY_FRACTION ? GREEDY_CALLER : `caller-${1 + random.integer(kind.callers)}`
  const runTime = kind.drawRunTime(random.next(), random.next())
  return {
    id: 0,
    class: kind.rule.name,
    caller,
    arrival,
    runTime,
    remaining: runTime,
    patience: kind.rule.patience,
    withdrawnAt: Infinity,
    state: 'new',
    startedAt: NaN,
    attempts: 0,
    hasReturned: false
  }
}

function addWithdrawals (works: Work[], plan: RunPlan, random: Random): void {
  for (const work of works) {
    const waveAt = Math.ceil(work.arrival / plan.waveInterval) * plan.waveInterval
    if (waveAt - work.arrival < work.patience && random.next() < WAVE_FRACTION) work.withdrawnAt = waveAt
  }
}
