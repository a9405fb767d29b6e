import { writeFile } from 'node:fs/promises'
import { readCatalogue } from '../runtime/readCatalogue.js'
import { renderCatalogue } from '../runtime/renderCatalogue.js'

/**
 * Generates the page of log events, docs/logs.md, from the code.
 */

await writeFile(new URL('../../../../../docs/logs.md', import.meta.url), renderCatalogue(readCatalogue()))
