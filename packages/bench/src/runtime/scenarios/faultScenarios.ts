import type { Report } from '../../utils/markdown.js'
import type { ScenarioOptions, Scenario } from '../../types/scenario.js'
import type { Workload, RunPlan } from '../../types/work.js'
import { formatSpread } from '../../utils/statistics.js'
import { WORKLOADS } from '../workloads.js'
import { simulate } from '../simulate.js'
import { calculateFigure, spreadOver, runColumns, runRow } from '../summary.js'
import { PEAK_DEMAND, SCHEDULERS } from './compareLoads.js'

/** Load of these scenarios relative to capacity. */
const LOAD = 0.9

/** Number of workers that fail all work. Each workload has 30 workers. */
const FAILING_WORKERS = 3

/** Interval between waves of cancellations. */
const WAVE_INTERVAL_MS = 10_000

/**
 * Simulates workers that fail all work after a quarter of the run. The `bound` scheduler is left out.
 *
 * @param options - workloads, seeds and duration
 * @returns one table for each workload
 */
export const failingWorkers: Scenario = options => {
  const reports = options.workloads.map(name => failureReport(WORKLOADS[name]!, options))
  return { reports, plots: [] }
}

/**
 * Simulates callers that repeatedly withdraw a large part of their work at the same time.
 *
 * @param options - workloads, seeds and duration
 * @returns one table for each workload
 */
export const cancellationWaves: Scenario = options => {
  const reports = options.workloads.map(name => {
    const workload = WORKLOADS[name]!
    const rows = SCHEDULERS.map(scheduler => {
      options.progress(`waves ${name} ${scheduler}`)
      const recorders = options.seeds.map(seed => simulate({ ...createPlan(workload, seed, options), waveInterval: WAVE_INTERVAL_MS }, scheduler))
      return [scheduler, ...runRow(recorders, { workload, load: LOAD, duration: options.duration })]
    })
    return { title: `${name} desk, waves of cancellations, 90 % of capacity`, note: '', columns: ['scheduler', ...runColumns(workload)], rows }
  })
  return { reports, plots: [] }
}

/**
 * Compares the waits of short work with and without long work in the same cell.
 *
 * @param options - workloads, seeds and duration
 * @returns one table for each workload
 */
export const headOfLineBlocking: Scenario = options => {
  const reports = options.workloads.map(name => blockingReport(WORKLOADS[name]!, options))
  return { reports, plots: [] }
}

function createPlan (workload: Workload, seed: number, options: ScenarioOptions): RunPlan {
  return { workload, load: LOAD, seed, duration: options.duration, peakDemand: PEAK_DEMAND, failingWorkers: 0, waveInterval: 0 }
}

function failureReport (workload: Workload, options: ScenarioOptions): Report {
  const rows = SCHEDULERS.filter(scheduler => scheduler !== 'bound').map(scheduler => {
    options.progress(`failing ${workload.name} ${scheduler}`)
    const recorders = options.seeds.map(seed => simulate({ ...createPlan(workload, seed, options), failingWorkers: FAILING_WORKERS }, scheduler))
    const cells = workload.classes.flatMap(kind => [
      formatSpread(spreadOver(recorders, recorder => calculateFigure(recorder, kind, 'failed')), 2),
      formatSpread(spreadOver(recorders, recorder => calculateFigure(recorder, kind, 'p99')))
    ])
    return [scheduler, ...cells]
  })
  const columns = workload.classes.flatMap(kind => [`${kind.rule.name} failed %`, `${kind.rule.name} p99`])
  const title = `${workload.name} desk, ${FAILING_WORKERS} of ${workload.workers} workers fail everything, 90 % of capacity`
  return { title, note: 'Waits in ms.', columns: ['scheduler', ...columns], rows }
}

function blockingReport (workload: Workload, options: ScenarioOptions): Report {
  const short = workload.classes.filter(kind => kind.role !== 'long')
  const total = workload.classes.reduce((sum, kind) => sum + kind.share * kind.meanRunTime, 0)
  const load = LOAD * short.reduce((sum, kind) => sum + kind.share * kind.meanRunTime, 0) / total
  const rows = SCHEDULERS.map(scheduler => {
    options.progress(`blocking ${workload.name} ${scheduler}`)
    const mixed = options.seeds.map(seed => simulate(createPlan(workload, seed, options), scheduler))
    const alone = options.seeds.map(seed => simulate({ ...createPlan({ ...workload, classes: short }, seed, options), load }, scheduler))
    const cells = short.flatMap(kind => [mixed, alone].map(recorders =>
      formatSpread(spreadOver(recorders, recorder => calculateFigure(recorder, kind, 'p99')))))
    return [scheduler, ...cells]
  })
  const columns = short.flatMap(kind => [`${kind.rule.name} p99 beside long work`, `${kind.rule.name} p99 without`])
  return { title: `${workload.name} desk, short work behind long work, 90 % of capacity`, note: 'Waits in ms.', columns: ['scheduler', ...columns], rows }
}
