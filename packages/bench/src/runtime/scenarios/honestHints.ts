import type { Effort, Scenario } from '../../types/scenario.js'
import type { Desk, WorkClass } from '../../types/work.js'
import { formatSpread } from '../../utils/statistics.js'
import { DESKS } from '../desks.js'
import type { ComeBack } from '../PolicyScheduler.js'
import type { Recorder } from '../Recorder.js'
import { simulate } from '../simulate.js'
import { over } from '../summary.js'
import { CREST } from './compareLoads.js'

/** Load at which much is refused, as a part of capacity. */
const LOAD = 3

const WAYS: ComeBack[] = ['hint', 'soon']

/**
 * Measures what becomes of callers who were refused and come back once: after the hint, or after 100 ms.
 *
 * @param effort - desks, seeds and duration
 * @returns one table
 */
export const honestHints: Scenario = effort => {
  const rows = effort.desks.flatMap(name => WAYS.flatMap(comeBack => wayRows(DESKS[name]!, comeBack, effort)))
  const columns = ['desk', 'class', 'callers come back', 'refused % of arrivals', 'started % of those back']
  return { reports: [{ title: 'Refusals and their hints at 300 % of capacity', note: '', columns, rows }], plots: [] }
}

function wayRows (desk: Desk, comeBack: ComeBack, effort: Effort): string[][] {
  effort.progress(`hints ${desk.name} ${comeBack}`)
  const plan = { desk, load: LOAD, duration: effort.duration, crest: CREST, failing: 0, waves: 0 }
  const recorders = effort.seeds.map(seed => simulate({ ...plan, seed }, 'rattanstep', { comeBack }))
  const way = comeBack === 'hint' ? 'after the hint' : 'after 100 ms'
  return desk.classes.filter(kind => !kind.task).map(kind => [
    desk.name,
    kind.rule.name,
    way,
    formatSpread(over(recorders, recorder => refusedPart(recorder, kind)), 1),
    formatSpread(over(recorders, recorder => startedPart(recorder, kind)), 1)
  ])
}

function refusedPart (recorder: Recorder, kind: WorkClass): number {
  const record = recorder.of(kind.rule.name)
  return 100 * record.returned / Math.max(1, record.arrived)
}

function startedPart (recorder: Recorder, kind: WorkClass): number {
  const record = recorder.of(kind.rule.name)
  return record.returned === 0 ? 0 : 100 * record.startedAfterReturn / record.returned
}
