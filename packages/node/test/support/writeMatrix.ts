import { writeFileSync } from 'node:fs'
import { renderMatrix, singleCases } from './renderMatrix.js'
import type { CaseOutcome } from './renderMatrix.js'
import { runCase } from './runCase.js'

const PAGE = new URL('../../../../../docs/matrix.md', import.meta.url)

const outcomes: CaseOutcome[] = []
for (const options of singleCases()) outcomes.push({ options, result: await runCase(options) })
writeFileSync(PAGE, renderMatrix(outcomes))
