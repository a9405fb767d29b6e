import { Err, Ok } from '@rattanstep/core'
import type { Address, Finding, Result } from '@rattanstep/core'
import { isMap } from 'yaml'
import type { Document, Node, YAMLMap } from 'yaml'
import type { ResolvedSettings } from '../types/settings.js'
import { readDocument } from './readDocument.js'
import { offsetOf, readFields } from './readFields.js'
import type { FieldValues } from './readFields.js'
import { SETTINGS_SCHEMA } from './schema.js'
import { Source } from './Source.js'

/** Options of {@link parseSettings}. */
export interface ParseSettingsOptions {
  /** File name that findings give. */
  file: string
  /** Secret to use if the text does not set one. */
  secret?: string
}

/**
 * Reads the settings of one node.
 *
 * @param text - contents of the settings file
 * @param options - file name for findings, and the secret from outside of the file
 * @returns the settings with every default filled in, or all findings, sorted by position
 */
export function parseSettings (text: string, options: ParseSettingsOptions): Result<ResolvedSettings, Finding[]> {
  const source = new Source(text, options.file)
  const document = readDocument(source)
  if (document === null || source.findings.length > 0) return Err(source.sortedFindings())
  const settings = readSettings(source, document, options.secret ?? '')
  if (settings === null || source.findings.length > 0) return Err(source.sortedFindings())
  return Ok(settings)
}

function readSettings (source: Source, document: Document, secret: string): ResolvedSettings | null {
  const { contents } = document
  if (contents === null || !isMap(contents)) {
    source.report('not-a-map', offsetOf(contents as Node | null), `expected a map with the keys ${Object.keys(SETTINGS_SCHEMA).join(', ')}`)
    return null
  }
  const optional: Array<keyof ResolvedSettings> = secret === '' ? [] : ['secret']
  const fields = readFields<ResolvedSettings>(source, contents as YAMLMap, SETTINGS_SCHEMA, optional)
  checkDistinctAddresses(source, fields)
  if (!fields.isComplete) return null
  return { secret, ...fields.values } as ResolvedSettings
}

/**
 * Reports keys with the same address: two listeners of a node cannot share one, and the platform service cannot listen on
 * an address of the node. Port 0 is exempt, because the system chooses a free port.
 */
function checkDistinctAddresses (source: Source, { values, offsets }: FieldValues<ResolvedSettings>): void {
  const keysByAddress = new Map<string, string>()
  for (const key of ['front', 'peer', 'control', 'platform'] as const) {
    const value = values[key]
    if (value === undefined || value.port === 0) continue
    const formatted = formatAddress(value)
    const firstKey = keysByAddress.get(formatted)
    if (firstKey === undefined) keysByAddress.set(formatted, key)
    else source.report('same-address', offsets[key] ?? 0, `${key} and ${firstKey} are both ${formatted}; give each a port of its own`)
  }
}

function formatAddress ({ host, port }: Address): string {
  return host.includes(':') ? `[${host}]:${port}` : `${host}:${port}`
}
