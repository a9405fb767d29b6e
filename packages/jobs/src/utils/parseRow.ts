import { Err, Ok } from '@rattanstep/core'
import type { Result, Row } from '@rattanstep/core'
import { z } from 'zod'

/**
 * @param row - a row of the table
 * @param schema - schema of the row's content
 * @returns the parsed content, or the errors that the schema reports
 */
export function parseRow<T> (row: Row, schema: z.ZodType<T>): Result<T, string> {
  const content = parseText(row.value)
  const checked = schema.safeParse(content)
  return checked.success ? Ok(checked.data) : Err(z.prettifyError(checked.error))
}

/**
 * @param text - a JSON document
 * @returns the parsed value, or `undefined` when the text is not valid JSON
 */
export function parseText (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}
