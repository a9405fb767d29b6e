import type { Effort, Scenario } from '../../types/scenario.js'
import type { Report } from '../../utils/markdown.js'
import { formatSpread, quantile } from '../../utils/statistics.js'
import { DESKS } from '../desks.js'
import { simulate } from '../simulate.js'
import type { SchedulerName } from '../simulate.js'
import { over } from '../summary.js'
import { CREST } from './compareLoads.js'

/** Load as a part of capacity. */
const LOAD = 1.1

const SCHEDULERS: SchedulerName[] = ['least-connections', 'shortest-delay', 'first-version', 'rattanstep', 'bound']

/**
 * Compares the waits of the caller that sends half of each class with those of all others.
 *
 * @param effort - desks, seeds and duration
 * @returns one table for each desk
 */
export const compareCallers: Scenario = effort => {
  return { reports: effort.desks.map(name => compareDesk(name, effort)), plots: [] }
}

function compareDesk (name: string, effort: Effort): Report {
  const desk = DESKS[name]!
  const kinds = desk.classes.filter(kind => !kind.task)
  const rows = SCHEDULERS.map(scheduler => {
    effort.progress(`callers ${name} ${scheduler}`)
    const plan = { desk, load: LOAD, duration: effort.duration, crest: CREST, failing: 0, waves: 0 }
    const recorders = effort.seeds.map(seed => simulate({ ...plan, seed }, scheduler))
    const cells = kinds.flatMap(kind => (['greedyWaits', 'modestWaits'] as const).map(waits =>
      formatSpread(over(recorders, recorder => quantile(recorder.of(kind.rule.name)[waits], 0.99)))))
    return [scheduler, ...cells]
  })
  const columns = kinds.flatMap(kind => [`${kind.rule.name} p99 of the greedy caller`, `${kind.rule.name} p99 of the others`])
  return { title: `${name} desk, one caller sends half, 110 % of capacity`, note: 'Waits in ms.', columns: ['scheduler', ...columns], rows }
}
