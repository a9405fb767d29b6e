import type { ScenarioOptions, Scenario } from '../../types/scenario.js'
import type { Report } from '../../utils/markdown.js'
import { formatSpread, quantile } from '../../utils/statistics.js'
import { WORKLOADS } from '../workloads.js'
import { simulate } from '../simulate.js'
import type { SchedulerName } from '../simulate.js'
import { spreadOver } from '../summary.js'
import { PEAK_DEMAND } from './compareLoads.js'

/** Load relative to capacity. */
const LOAD = 1.1

const SCHEDULERS: SchedulerName[] = ['least-connections', 'shortest-delay', 'first-version', 'rattanstep', 'bound']

/**
 * Compares the waits of the caller that sends half of the items with the waits of all other callers.
 *
 * @param options - workloads, seeds and duration
 * @returns one table for each workload
 */
export const compareCallers: Scenario = options => {
  return { reports: options.workloads.map(name => compareWorkload(name, options)), plots: [] }
}

function compareWorkload (name: string, options: ScenarioOptions): Report {
  const workload = WORKLOADS[name]!
  const kinds = workload.classes.filter(kind => !kind.runsAsTasks)
  const rows = SCHEDULERS.map(scheduler => {
    options.progress(`callers ${name} ${scheduler}`)
    const plan = { workload, load: LOAD, duration: options.duration, peakDemand: PEAK_DEMAND, failingWorkers: 0, waveInterval: 0 }
    const recorders = options.seeds.map(seed => simulate({ ...plan, seed }, scheduler))
    const cells = kinds.flatMap(kind => (['greedyWaits', 'modestWaits'] as const).map(waits =>
      formatSpread(spreadOver(recorders, recorder => quantile(recorder.recordOf(kind.rule.name)[waits], 0.99)))))
    return [scheduler, ...cells]
  })
  const columns = kinds.flatMap(kind => [`${kind.rule.name} p99 of the greedy caller`, `${kind.rule.name} p99 of the others`])
  return { title: `${name} desk, one caller sends half, 110 % of capacity`, note: 'Waits in ms.', columns: ['scheduler', ...columns], rows }
}
