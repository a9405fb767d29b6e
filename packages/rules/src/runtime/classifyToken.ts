import { CST } from 'yaml'

/** Kinds of lexer tokens that the checks distinguish. */
export type TokenType = 'marker' | 'flow-start' | 'newline' | 'indicator' | 'flow-end' | 'anchor' | 'alias' | 'tag' | 'directive-line' | 'doc-start' | 'doc-end' | 'other'

const TOKEN_TYPES = new Map<string, TokenType>([
  ['doc-mode', 'marker'],
  ['flow-error-end', 'marker'],
  ['scalar', 'marker'],
  ['flow-map-start', 'flow-start'],
  ['flow-seq-start', 'flow-start'],
  ['flow-map-end', 'flow-end'],
  ['flow-seq-end', 'flow-end'],
  ['newline', 'newline'],
  ['seq-item-ind', 'indicator'],
  ['explicit-key-ind', 'indicator'],
  ['map-value-ind', 'indicator'],
  ['anchor', 'anchor'],
  ['alias', 'alias'],
  ['tag', 'tag'],
  ['directive-line', 'directive-line'],
  ['doc-start', 'doc-start'],
  ['doc-end', 'doc-end']
])

/**
 * Classifies a token of the YAML lexer. Markers are tokens that correspond to no characters of the text.
 *
 * @param token - token from the lexer
 * @returns kind of the token
 */
export function classifyToken (token: string): TokenType {
  return TOKEN_TYPES.get(CST.tokenType(token) ?? '') ?? 'other'
}
