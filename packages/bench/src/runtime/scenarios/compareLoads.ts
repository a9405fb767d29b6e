import type { Findings, Scenario } from '../../types/scenario.js'
import type { Workload, RunPlan } from '../../types/work.js'
import { plotLines } from '../../utils/svg.js'
import type { Series } from '../../utils/svg.js'
import { WORKLOADS } from '../workloads.js'
import type { Recorder } from '../Recorder.js'
import { simulate } from '../simulate.js'
import type { SchedulerName } from '../simulate.js'
import { calculateFigure, spreadOver, runColumns, runRow } from '../summary.js'

/** Offered work relative to capacity. */
export const LOADS = [0.6, 0.9, 1, 1.1, 2]

/** Peak demand relative to the mean. */
export const PEAK_DEMAND = 2.5

/** Schedulers in the order of the tables. */
export const SCHEDULERS: SchedulerName[] = [
  'round-robin',
  'random',
  'least-connections',
  'shortest-delay',
  'weighted-sum',
  'first-version',
  'rattanstep',
  'bound'
]

/**
 * Compares all schedulers at all loads.
 *
 * @param options - workloads, seeds and duration
 * @returns one table for each workload and load, and one plot of waits for each class
 */
export const compareLoads: Scenario = options => {
  const findings: Findings = { reports: [], plots: [] }
  for (const name of options.workloads) {
    const workload = WORKLOADS[name]!
    const runs = new Map<string, Recorder[]>()
    for (const load of LOADS) {
      for (const scheduler of SCHEDULERS) {
        options.progress(`${name} ${load} ${scheduler}`)
        runs.set(`${load} ${scheduler}`, options.seeds.map(seed => simulate(createPlan(workload, load, seed, options.duration), scheduler)))
      }
      findings.reports.push({
        title: `${name} desk, ${Math.round(100 * load)} % of capacity`,
        note: 'Waits in ms; median over seeds, with the range.',
        columns: ['scheduler', ...runColumns(workload)],
        rows: SCHEDULERS.map(scheduler => [scheduler, ...runRow(runs.get(`${load} ${scheduler}`)!, { workload, load, duration: options.duration })])
      })
    }
    findings.plots.push(...plotWorkload(workload, runs))
  }
  return findings
}

function createPlan (workload: Workload, load: number, seed: number, duration: number): RunPlan {
  return { workload, load, seed, duration, peakDemand: PEAK_DEMAND, failingWorkers: 0, waveInterval: 0 }
}

function plotWorkload (workload: Workload, runs: Map<string, Recorder[]>): string[] {
  return workload.classes.map(kind => {
    const series: Series[] = SCHEDULERS.map(scheduler => {
      const points = LOADS.map((load): [number, number] => {
        const wait = spreadOver(runs.get(`${load} ${scheduler}`)!, recorder => calculateFigure(recorder, kind, 'p99'))
        return [100 * load, wait.median]
      })
      return { name: scheduler, points }
    })
    return plotLines({ title: `${workload.name} desk: wait of ${kind.rule.name}, p99`, x: 'load, % of capacity', y: 'ms', series })
  })
}
