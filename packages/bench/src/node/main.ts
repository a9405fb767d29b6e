#!/usr/bin/env node
import { parseArgs } from 'node:util'
import { DESKS } from '../runtime/desks.js'
import { compareCallers } from '../runtime/scenarios/compareCallers.js'
import { compareLoads } from '../runtime/scenarios/compareLoads.js'
import { honestHints } from '../runtime/scenarios/honestHints.js'
import { packSets } from '../runtime/scenarios/packSets.js'
import { startGangs } from '../runtime/scenarios/startGangs.js'
import { sweepConstants, sweepCrowded } from '../runtime/scenarios/sweepConstants.js'
import { cancellationWaves, failingWorkers, headOfLine } from '../runtime/scenarios/trouble.js'
import type { Scenario } from '../types/scenario.js'
import { formatReport } from '../utils/markdown.js'
import { measureCost } from './measureCost.js'
import { writeResults } from './writeResults.js'

const SCENARIOS: Record<string, Scenario> = {
  load: compareLoads,
  failing: failingWorkers,
  waves: cancellationWaves,
  blocking: headOfLine,
  callers: compareCallers,
  hints: honestHints,
  sweep: sweepConstants,
  'sweep-crowded': sweepCrowded,
  gangs: startGangs,
  packing: packSets,
  cost: measureCost
}

/** Folder of the results, which git ignores. */
const FOLDER = 'bench-results'

const DURATION = 60_000
const QUICK_DURATION = 16_000

function main (): void {
  const { values } = parseArgs({
    options: {
      scenario: { type: 'string', default: Object.keys(SCENARIOS).join(',') },
      seeds: { type: 'string', default: '1,2,3,4,5' },
      desks: { type: 'string', default: Object.keys(DESKS).join(',') },
      quick: { type: 'boolean', default: false }
    }
  })
  const seeds = values.quick ? [1] : values.seeds.split(',').map(Number)
  const duration = values.quick ? QUICK_DURATION : DURATION
  const desks = values.desks.split(',')
  const names = values.scenario.split(',')
  const unknown = [...names.filter(name => !(name in SCENARIOS)), ...desks.filter(name => !(name in DESKS))]
  if (unknown.length > 0) {
    const known = [...Object.keys(SCENARIOS), ...Object.keys(DESKS)].join(', ')
    process.stderr.write(`unknown: ${unknown.join(', ')}; expected some of ${known}\n`)
    process.exitCode = 2
    return
  }
  const progress = (line: string): void => { process.stderr.write(`${line}\n`) }
  for (const name of names) {
    const command = `npm run bench -- --scenario ${name} --desks ${desks.join(',')} ${values.quick ? '--quick' : `--seeds ${seeds.join(',')}`}`
    const findings = SCENARIOS[name]!({ seeds, duration, desks, progress })
    writeResults(FOLDER, [name, ...(desks.length === 1 ? desks : [])].join('-'), { command, findings })
    for (const report of findings.reports) process.stdout.write(`${formatReport(report)}\n`)
  }
}

main()
