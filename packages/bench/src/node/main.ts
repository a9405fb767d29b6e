#!/usr/bin/env node
import { parseArgs } from 'node:util'
import { WORKLOADS } from '../runtime/workloads.js'
import { compareCallers } from '../runtime/scenarios/compareCallers.js'
import { compareLoads } from '../runtime/scenarios/compareLoads.js'
import { compareRetryHints } from '../runtime/scenarios/compareRetryHints.js'
import { compareTaskPacking } from '../runtime/scenarios/compareTaskPacking.js'
import { measureGangStarts } from '../runtime/scenarios/measureGangStarts.js'
import { sweepConstants, sweepOverloaded } from '../runtime/scenarios/sweepConstants.js'
import { cancellationWaves, failingWorkers, headOfLineBlocking } from '../runtime/scenarios/faultScenarios.js'
import type { Scenario } from '../types/scenario.js'
import { formatReport } from '../utils/markdown.js'
import { measureCost } from './measureCost.js'
import { writeResults } from './writeResults.js'

const SCENARIOS: Record<string, Scenario> = {
  load: compareLoads,
  failing: failingWorkers,
  waves: cancellationWaves,
  blocking: headOfLineBlocking,
  callers: compareCallers,
  hints: compareRetryHints,
  sweep: sweepConstants,
  'sweep-crowded': sweepOverloaded,
  gangs: measureGangStarts,
  packing: compareTaskPacking,
  cost: measureCost
}

/** Directory for the results, which git ignores. */
const RESULTS_FOLDER = 'bench-results'

/** Simulated time during which work arrives. */
const DURATION_MS = 60_000
/** The same with `--quick`. */
const QUICK_DURATION_MS = 16_000

function main (): void {
  const { values } = parseArgs({
    options: {
      scenario: { type: 'string', default: Object.keys(SCENARIOS).join(',') },
      seeds: { type: 'string', default: '1,2,3,4,5' },
      desks: { type: 'string', default: Object.keys(WORKLOADS).join(',') },
      quick: { type: 'boolean', default: false }
    }
  })
  const seeds = values.quick ? [1] : values.seeds.split(',').map(Number)
  const duration = values.quick ? QUICK_DURATION_MS : DURATION_MS
  const workloads = values.desks.split(',')
  const names = values.scenario.split(',')
  const unknown = [...names.filter(name => !(name in SCENARIOS)), ...workloads.filter(name => !(name in WORKLOADS))]
  if (unknown.length > 0) {
    const known = [...Object.keys(SCENARIOS), ...Object.keys(WORKLOADS)].join(', ')
    process.stderr.write(`unknown scenario or desk: ${unknown.join(', ')}; expected one or more of ${known}\n`)
    process.exitCode = 2
    return
  }
  const progress = (line: string): void => { process.stderr.write(`${line}\n`) }
  for (const name of names) {
    const command = `npm run bench -- --scenario ${name} --desks ${workloads.join(',')} ${values.quick ? '--quick' : `--seeds ${seeds.join(',')}`}`
    const findings = SCENARIOS[name]!({ seeds, duration, workloads, progress })
    writeResults(RESULTS_FOLDER, [name, ...(workloads.length === 1 ? workloads : [])].join('-'), { command, findings })
    for (const report of findings.reports) process.stdout.write(`${formatReport(report)}\n`)
  }
}

main()
