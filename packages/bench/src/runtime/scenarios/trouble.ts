import type { Report } from '../../utils/markdown.js'
import type { Effort, Scenario } from '../../types/scenario.js'
import type { Desk, RunPlan } from '../../types/work.js'
import { formatSpread } from '../../utils/statistics.js'
import { DESKS } from '../desks.js'
import { simulate } from '../simulate.js'
import { figureOf, over, runColumns, runRow } from '../summary.js'
import { CREST, SCHEDULERS } from './compareLoads.js'

/** Load of these scenarios as a part of capacity. */
const LOAD = 0.9

/** Workers of 30 that fail everything. */
const FAILING = 3

/** Milliseconds between waves of cancellations. */
const WAVES = 10_000

/**
 * Runs with workers that fail everything they start.
 *
 * @param effort - desks, seeds and duration
 * @returns one table for each desk
 */
export const failingWorkers: Scenario = effort => {
  const reports = effort.desks.map(name => failureReport(DESKS[name]!, effort))
  return { reports, plots: [] }
}

/**
 * Runs in which callers withdraw much of their work at once, again and again.
 *
 * @param effort - desks, seeds and duration
 * @returns one table for each desk
 */
export const cancellationWaves: Scenario = effort => {
  const reports = effort.desks.map(name => {
    const desk = DESKS[name]!
    const rows = SCHEDULERS.map(scheduler => {
      effort.progress(`waves ${name} ${scheduler}`)
      const recorders = effort.seeds.map(seed => simulate({ ...plan(desk, seed, effort), waves: WAVES }, scheduler))
      return [scheduler, ...runRow(recorders, { desk, load: LOAD, duration: effort.duration })]
    })
    return { title: `${name} desk, waves of cancellations, 90 % of capacity`, note: '', columns: ['scheduler', ...runColumns(desk)], rows }
  })
  return { reports, plots: [] }
}

/**
 * Compares the waits of short work with and without long work beside it.
 *
 * @param effort - desks, seeds and duration
 * @returns one table for each desk
 */
export const headOfLine: Scenario = effort => {
  const reports = effort.desks.map(name => blockingReport(DESKS[name]!, effort))
  return { reports, plots: [] }
}

function plan (desk: Desk, seed: number, effort: Effort): RunPlan {
  return { desk, load: LOAD, seed, duration: effort.duration, crest: CREST, failing: 0, waves: 0 }
}

function failureReport (desk: Desk, effort: Effort): Report {
  const rows = SCHEDULERS.filter(scheduler => scheduler !== 'bound').map(scheduler => {
    effort.progress(`failing ${desk.name} ${scheduler}`)
    const recorders = effort.seeds.map(seed => simulate({ ...plan(desk, seed, effort), failing: FAILING }, scheduler))
    const cells = desk.classes.flatMap(kind => [
      formatSpread(over(recorders, recorder => figureOf(recorder, kind, 'failed')), 2),
      formatSpread(over(recorders, recorder => figureOf(recorder, kind, 'p99')))
    ])
    return [scheduler, ...cells]
  })
  const columns = desk.classes.flatMap(kind => [`${kind.rule.name} failed %`, `${kind.rule.name} p99`])
  const title = `${desk.name} desk, ${FAILING} of ${desk.workers} workers fail everything, 90 % of capacity`
  return { title, note: 'Waits in ms.', columns: ['scheduler', ...columns], rows }
}

function blockingReport (desk: Desk, effort: Effort): Report {
  const short = desk.classes.filter(kind => kind.role !== 'long')
  const total = desk.classes.reduce((sum, kind) => sum + kind.count * kind.mean, 0)
  const load = LOAD * short.reduce((sum, kind) => sum + kind.count * kind.mean, 0) / total
  const rows = SCHEDULERS.map(scheduler => {
    effort.progress(`blocking ${desk.name} ${scheduler}`)
    const mixed = effort.seeds.map(seed => simulate(plan(desk, seed, effort), scheduler))
    const alone = effort.seeds.map(seed => simulate({ ...plan({ ...desk, classes: short }, seed, effort), load }, scheduler))
    const cells = short.flatMap(kind => [mixed, alone].map(recorders =>
      formatSpread(over(recorders, recorder => figureOf(recorder, kind, 'p99')))))
    return [scheduler, ...cells]
  })
  const columns = short.flatMap(kind => [`${kind.rule.name} p99 beside long work`, `${kind.rule.name} p99 without`])
  return { title: `${desk.name} desk, short work behind long work, 90 % of capacity`, note: 'Waits in ms.', columns: ['scheduler', ...columns], rows }
}
