import { readFile, writeFile } from 'node:fs/promises'
import { fillTables } from '../runtime/referenceTables.js'

/**
 * Fills the tables of keys of the reference from the code.
 */

for (const name of ['rules', 'settings', 'jobs']) {
  const page = new URL(`../../../../../docs/reference/${name}.md`, import.meta.url)
  await writeFile(page, fillTables(await readFile(page, 'utf8')))
}
