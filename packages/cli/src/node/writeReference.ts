import { readFile, writeFile } from 'node:fs/promises'
import { fillTables } from '../runtime/referenceTables.js'

/**
 * Generates the tables of keys in the reference pages from the schemas.
 */

for (const name of ['rules', 'settings', 'jobs']) {
  const page = new URL(`../../../../../docs/reference/${name}.md`, import.meta.url)
  await writeFile(page, fillTables(await readFile(page, 'utf8')))
}
