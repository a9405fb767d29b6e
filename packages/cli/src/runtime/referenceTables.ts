import { CLASS_SCHEMA, JOB_SCHEMA, LIMITS_SCHEMA, ROUTE_SCHEMA, SETTINGS_SCHEMA, TASK_SCHEMA, TEAM_SCHEMA } from '@rattanstep/rules'
import type { Field } from '@rattanstep/rules'

/**
 * Generates the tables of keys in the reference pages from the schemas.
 */

const SCHEMAS: Record<string, Record<string, Field<unknown>>> = {
  classes: CLASS_SCHEMA,
  routes: ROUTE_SCHEMA,
  teams: TEAM_SCHEMA,
  limits: LIMITS_SCHEMA,
  settings: SETTINGS_SCHEMA,
  job: JOB_SCHEMA,
  tasks: TASK_SCHEMA
}

const TABLE_MARKER = /<!-- keys: (\w+) -->\n[\s\S]*?<!-- end of keys -->/g

/**
 * Replaces the tables of a page, which are marked by `<!-- keys: NAME -->` and `<!-- end of keys -->`.
 *
 * @param page - text of the page
 * @returns the page with every table generated from its schema
 */
export function fillTables (page: string): string {
  return page.replace(TABLE_MARKER, (match, name: string) => {
    const schema = SCHEMAS[name]
    return schema === undefined ? match : `<!-- keys: ${name} -->\n${renderTable(schema)}\n<!-- end of keys -->`
  })
}

/**
 * @param page - text of a page
 * @returns names of the tables that the page marks
 */
export function findTableNames (page: string): string[] {
  return [...page.matchAll(TABLE_MARKER)].map(match => match[1]!)
}

/** @returns names of all tables that can be generated */
export function allTableNames (): string[] {
  return Object.keys(SCHEMAS)
}

function renderTable (schema: Record<string, Field<unknown>>): string {
  const rows = Object.entries(schema).map(([key, field]) => renderRow(key, field))
  return ['| Key | Unit | Default | Bounds | Example | Meaning |', '|---|---|---|---|---|---|', ...rows].join('\n')
}

function renderRow (key: string, field: Field<unknown>): string {
  const defaultCell = field.defaultValue === undefined ? 'required' : `\`${field.defaultText === '' ? '""' : field.defaultText}\``
  const cells = [`\`${key}\``, field.unit, defaultCell, field.bounds, `\`${field.example}\``, field.meaning]
  return `| ${cells.map(cell => cell.replaceAll('|', '\\|')).join(' | ')} |`
}
