import { Err, Ok } from '@rattanstep/core'
import type { Result, Row } from '@rattanstep/core'
import { z } from 'zod'

/**
 * @param row - a row of the table
 * @param schema - its expected shape
 * @returns its content, or what is wrong with it
 */
export function parseRow<T> (row: Row, schema: z.ZodType<T>): Result<T, string> {
  const content = parseText(row.value)
  const checked = schema.safeParse(content)
  return checked.success ? Ok(checked.data) : Err(z.prettifyError(checked.error))
}

/**
 * @param text - JSON
 * @returns its content, or `undefined` when it is no JSON
 */
export function parseText (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}
