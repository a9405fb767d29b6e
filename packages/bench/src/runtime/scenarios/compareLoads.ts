import type { Findings, Scenario } from '../../types/scenario.js'
import type { Desk, RunPlan } from '../../types/work.js'
import { plotLines } from '../../utils/svg.js'
import type { Series } from '../../utils/svg.js'
import { DESKS } from '../desks.js'
import type { Recorder } from '../Recorder.js'
import { simulate } from '../simulate.js'
import type { SchedulerName } from '../simulate.js'
import { figureOf, over, runColumns, runRow } from '../summary.js'

/** Offered work as a part of capacity. */
export const LOADS = [0.6, 0.9, 1, 1.1, 2]

/** Demand at the crest relative to its mean. */
export const CREST = 2.5

/** Schedulers in order of the tables. */
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
 * @param effort - desks, seeds and duration
 * @returns one table for each desk and load, and plots of the waits of urgent and quick work
 */
export const compareLoads: Scenario = effort => {
  const findings: Findings = { reports: [], plots: [] }
  for (const name of effort.desks) {
    const desk = DESKS[name]!
    const runs = new Map<string, Recorder[]>()
    for (const load of LOADS) {
      for (const scheduler of SCHEDULERS) {
        effort.progress(`${name} ${load} ${scheduler}`)
        runs.set(`${load} ${scheduler}`, effort.seeds.map(seed => simulate(plan(desk, load, seed, effort.duration), scheduler)))
      }
      findings.reports.push({
        title: `${name} desk, ${Math.round(100 * load)} % of capacity`,
        note: 'Waits in ms; median over seeds, with the range.',
        columns: ['scheduler', ...runColumns(desk)],
        rows: SCHEDULERS.map(scheduler => [scheduler, ...runRow(runs.get(`${load} ${scheduler}`)!, { desk, load, duration: effort.duration })])
      })
    }
    findings.plots.push(...plotDesk(desk, runs))
  }
  return findings
}

function plan (desk: Desk, load: number, seed: number, duration: number): RunPlan {
  return { desk, load, seed, duration, crest: CREST, failing: 0, waves: 0 }
}

function plotDesk (desk: Desk, runs: Map<string, Recorder[]>): string[] {
  return desk.classes.map(kind => {
    const series: Series[] = SCHEDULERS.map(scheduler => {
      const points = LOADS.map((load): [number, number] => {
        const wait = over(runs.get(`${load} ${scheduler}`)!, recorder => figureOf(recorder, kind, 'p99'))
        return [100 * load, wait.median]
      })
      return { name: scheduler, points }
    })
    return plotLines({ title: `${desk.name} desk: wait of ${kind.rule.name}, p99`, x: 'load, % of capacity', y: 'ms', series })
  })
}
