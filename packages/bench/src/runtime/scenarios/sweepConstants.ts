import type { ScenarioOptions, Scenario } from '../../types/scenario.js'
import type { Report } from '../../utils/markdown.js'
import { WORKLOADS } from '../workloads.js'
import { simulate } from '../simulate.js'
import type { Settings } from '../simulate.js'
import { runColumns, runRow } from '../summary.js'
import { PEAK_DEMAND } from './compareLoads.js'

/** Loads of the two scenarios relative to capacity. */
const BUSY_LOAD = 0.9
const OVERLOAD = 2

const SWEEPS: Array<{ name: string, values: number[], settings: (value: number) => Settings }> = [
  { name: 'longLeast', values: [0.1, 0.25, 0.4, 0.6], settings: value => ({ admission: { minLongFraction: value } }) },
  { name: 'recent', values: [25, 50, 100, 400, 1000], settings: value => ({ admission: { recentPeakWindow: value } }) },
  { name: 'lend', values: [0, 0.5, 1], settings: value => ({ admission: { lentReserveFraction: value } }) },
  { name: 'longRatio', values: [3, 10, 30], settings: longRatio => ({ admission: { longRatio } }) },
  { name: 'redirectAfter', values: [5, 20, 100, Infinity], settings: redirectAfter => ({ admission: { redirectAfter } }) },
  { name: 'turnover', values: [0.03, 0.1, 0.3, 1, 3], settings: turnover => ({ turnover }) },
  { name: 'local', values: [0, 1], settings: value => ({ prefersOwnNode: value === 1 }) },
  { name: 'preemptsTasks', values: [0, 1], settings: value => ({ admission: { preemptsTasks: value === 1 } }) },
  { name: 'heartbeat', values: [100, 250, 500, 1000], settings: heartbeat => ({ heartbeat }) }
]

/**
 * Varies one constant of the decision code at a time, with defaults for the others, at 90 % of capacity.
 *
 * @param options - workloads, seeds and duration
 * @returns one table for each workload
 */
export const sweepConstants: Scenario = options => {
  return { reports: options.workloads.map(name => sweepWorkload(name, BUSY_LOAD, options)), plots: [] }
}

/**
 * Varies the same constants as `sweepConstants`, at 200 % of capacity.
 *
 * @param options - workloads, seeds and duration
 * @returns one table for each workload
 */
export const sweepOverloaded: Scenario = options => {
  return { reports: options.workloads.map(name => sweepWorkload(name, OVERLOAD, options)), plots: [] }
}

function sweepWorkload (name: string, load: number, options: ScenarioOptions): Report {
  const workload = WORKLOADS[name]!
  const rows = SWEEPS.flatMap(sweep => sweep.values.map(value => {
    options.progress(`sweep ${name} ${load} ${sweep.name} ${value}`)
    const plan = { workload, load, duration: options.duration, peakDemand: PEAK_DEMAND, failingWorkers: 0, waveInterval: 0 }
    const recorders = options.seeds.map(seed => simulate({ ...plan, seed }, 'rattanstep', sweep.settings(value)))
    return [`${sweep.name} ${value}`, ...runRow(recorders, { workload, load, duration: options.duration })]
  }))
  return { title: `${name} desk, ${Math.round(100 * load)} % of capacity: constants`, note: 'Waits in ms.', columns: ['setting', ...runColumns(workload)], rows }
}
