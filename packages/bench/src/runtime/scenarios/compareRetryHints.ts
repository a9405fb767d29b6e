import type { ScenarioOptions, Scenario } from '../../types/scenario.js'
import type { Workload, WorkClass } from '../../types/work.js'
import { formatSpread } from '../../utils/statistics.js'
import { WORKLOADS } from '../workloads.js'
import type { ReturnPolicy } from '../PolicyScheduler.js'
import type { Recorder } from '../Recorder.js'
import { simulate } from '../simulate.js'
import { spreadOver } from '../summary.js'
import { PEAK_DEMAND } from './compareLoads.js'

/** Load relative to capacity; high enough that much work is refused. */
const LOAD = 3

const RETURN_POLICIES: ReturnPolicy[] = ['hint', 'soon']

/**
 * Measures how much refused work is started when callers send it again once, after the retry hint or after 100 ms.
 *
 * @param options - workloads, seeds and duration
 * @returns one table
 */
export const compareRetryHints: Scenario = options => {
  const rows = options.workloads.flatMap(name => RETURN_POLICIES.flatMap(returnPolicy => createRows(WORKLOADS[name]!, returnPolicy, options)))
  const columns = ['desk', 'class', 'callers come back', 'refused % of arrivals', 'started % of those back']
  return { reports: [{ title: 'Refusals and their hints at 300 % of capacity', note: '', columns, rows }], plots: [] }
}

function createRows (workload: Workload, returnPolicy: ReturnPolicy, options: ScenarioOptions): string[][] {
  options.progress(`hints ${workload.name} ${returnPolicy}`)
  const plan = { workload, load: LOAD, duration: options.duration, peakDemand: PEAK_DEMAND, failingWorkers: 0, waveInterval: 0 }
  const recorders = options.seeds.map(seed => simulate({ ...plan, seed }, 'rattanstep', { returnPolicy }))
  const label = returnPolicy === 'hint' ? 'after the hint' : 'after 100 ms'
  return workload.classes.filter(kind => !kind.runsAsTasks).map(kind => [
    workload.name,
    kind.rule.name,
    label,
    formatSpread(spreadOver(recorders, recorder => refusedPercentage(recorder, kind)), 1),
    formatSpread(spreadOver(recorders, recorder => startedPercentage(recorder, kind)), 1)
  ])
}

function refusedPercentage (recorder: Recorder, kind: WorkClass): number {
  const record = recorder.recordOf(kind.rule.name)
  return 100 * record.returnedCount / Math.max(1, record.arrived)
}

function startedPercentage (recorder: Recorder, kind: WorkClass): number {
  const record = recorder.recordOf(kind.rule.name)
  return record.returnedCount === 0 ? 0 : 100 * record.startedAfterReturn / record.returnedCount
}
