import type { Workload, WorkClass } from '../types/work.js'
import { formatSpread, quantile, spread } from '../utils/statistics.js'
import type { Spread } from '../utils/statistics.js'
import type { Recorder } from './Recorder.js'

/**
 * Names of the figures of a class in one run. `p50`, `p99` and `max` are waits; `crest` is the p99 wait of items that arrived
 * at peak demand; `slowdown` is the p99 of the time from arrival to end, relative to the run time.
 */
export type FigureName = 'p50' | 'p99' | 'max' | 'crest' | 'refused' | 'failed' | 'slowdown'

/**
 * @param recorder - recorder of one run
 * @param kind - class whose figure is calculated
 * @param figure - name of the figure
 * @returns waits in ms, `refused` and `failed` as a percentage of arrivals, `slowdown` as a ratio
 */
export function calculateFigure (recorder: Recorder, kind: WorkClass, figure: FigureName): number {
  const record = recorder.recordOf(kind.rule.name)
  const percentOfArrivals = (count: number): number => record.arrived === 0 ? 0 : 100 * count / record.arrived
  switch (figure) {
    case 'p50': return quantile(record.waits, 0.5)
    case 'p99': return quantile(record.waits, 0.99)
    case 'max': return quantile(record.waits, 1)
    case 'crest': return quantile(record.peakWaits, 0.99)
    case 'refused': return percentOfArrivals(record.refused)
    case 'failed': return percentOfArrivals(record.failed)
    case 'slowdown': return quantile(record.slowdowns, 0.99)
  }
}

/**
 * @param recorder - recorder of one run
 * @param workload - its workload
 * @param duration - ms during which work arrived
 * @returns slot time of completed work as a percentage of the slot time of all workers
 */
export function calculateGoodput (recorder: Recorder, workload: Workload, duration: number): number {
  const work = workload.classes.reduce((sum, kind) => sum + recorder.recordOf(kind.rule.name).workTime, 0)
  return 100 * work / (workload.workers * workload.slots * duration)
}

/**
 * @param recorders - recorders of one run for each seed
 * @param measure - calculates the figure of one run
 * @returns the spread of the figure over the seeds
 */
export function spreadOver (recorders: Recorder[], measure: (recorder: Recorder) => number): Spread {
  return spread(recorders.map(measure))
}

/**
 * Compares the share of a class with the slot time that it got while work arrived. The share is the capacity in proportion
 * to the offered work of the class, or all of its offered work when that is less.
 *
 * @param recorder - recorder of one run
 * @param plan - workload, load and duration of the run
 * @param kind - a class
 * @returns share divided by slot time; 1 when the class got its share, more when it got less
 */
export function calculateShareRatio (recorder: Recorder, plan: { workload: Workload, load: number, duration: number }, kind: WorkClass): number {
  const { workload, load, duration } = plan
  const total = workload.classes.reduce((sum, other) => sum + other.share * other.meanRunTime, 0)
  const share = kind.share * kind.meanRunTime / total * Math.min(1, load)
  return share * workload.workers * workload.slots * duration / Math.max(1, recorder.recordOf(kind.rule.name).workTime)
}

/** Columns of each class in a table of runs. */
export const CLASS_COLUMNS: Array<{ figure: FigureName, title: string, digits: number }> = [
  { figure: 'p50', title: 'p50', digits: 0 },
  { figure: 'p99', title: 'p99', digits: 0 },
  { figure: 'max', title: 'max', digits: 0 },
  { figure: 'crest', title: 'crest p99', digits: 0 },
  { figure: 'refused', title: 'refused %', digits: 1 }
]

/**
 * @param workload - a workload
 * @returns titles of the columns in a table of its runs
 */
export function runColumns (workload: Workload): string[] {
  const classes = workload.classes.flatMap(kind => CLASS_COLUMNS.map(({ title }) => `${kind.rule.name} ${title}`))
  const long = workload.classes.filter(kind => kind.role === 'long').flatMap(kind => [`${kind.rule.name} slowdown p99`, `${kind.rule.name} short of share`])
  return [...classes, ...long, 'goodput %', 'busy %', 'held %', 'messages a request']
}

/**
 * @param recorders - recorders of one run for each seed
 * @param plan - their workload and load, and the ms during which work arrived
 * @returns the cells of one row in the order of `runColumns`
 */
export function runRow (recorders: Recorder[], plan: { workload: Workload, load: number, duration: number }): string[] {
  const { workload, duration } = plan
  const cells = workload.classes.flatMap(kind => CLASS_COLUMNS.map(({ figure, digits }) =>
    formatSpread(spreadOver(recorders, recorder => calculateFigure(recorder, kind, figure)), digits)))
  const long = workload.classes.filter(kind => kind.role === 'long').flatMap(kind => [
    formatSpread(spreadOver(recorders, recorder => calculateFigure(recorder, kind, 'slowdown')), 1),
    formatSpread(spreadOver(recorders, recorder => calculateShareRatio(recorder, plan, kind)), 2)
  ])
  const arrived = (recorder: Recorder): number => workload.classes.reduce((sum, kind) => sum + recorder.recordOf(kind.rule.name).arrived, 0)
  return [
    ...cells,
    ...long,
    formatSpread(spreadOver(recorders, recorder => calculateGoodput(recorder, workload, duration)), 1),
    formatSpread(spreadOver(recorders, recorder => 100 * recorder.busyFraction), 1),
    formatSpread(spreadOver(recorders, recorder => 100 * recorder.heldFraction), 1),
    formatSpread(spreadOver(recorders, recorder => recorder.messages / arrived(recorder)), 1)
  ]
}
