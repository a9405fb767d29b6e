import { Lexer, parseDocument } from 'yaml'
import type { Document } from 'yaml'
import { classifyToken } from './classifyToken.js'
import type { Source } from './Source.js'

/** Most bytes of a text. */
export const MAX_TEXT_BYTES = 1024 ** 2

/** Most tokens of a text, which bounds the time that reading it takes. */
const MAX_TOKENS = 150_000

/** Deepest nesting of flow lists and maps that is read. */
const MAX_FLOW_DEPTH = 8

/** Largest column of a list or map mark outside of brackets, which bounds the depth of blocks. */
const MAX_INDICATOR_COLUMN = 128

const BYTE_ORDER_MARK = 0xfeff
/** Control characters that no text has. */
const CONTROL_CHARACTER = /(?![\t\n\r])\p{Cc}/u

/** Message of a finding `many-lines`. */
export const MANY_LINES_MESSAGE = 'the rule is spread over several lines; write it on one line and close its bracket there'

const REFUSED_TOKENS: Record<string, string> = {
  anchor: 'anchors (&) are not allowed; write the value out on each line',
  alias: 'aliases (*) are not allowed here; write the value out, or put it in quotes when it is text that starts with *',
  tag: 'tags (!) are not allowed; remove it',
  'directive-line': 'directives (%) are not allowed; remove the line',
  'doc-start': 'the text is one document; remove the --- line',
  'doc-end': 'the text is one document; remove the ... line'
}

/** Options of {@link readDocument}. */
export interface ReadDocumentOptions {
  /** Whether lists and maps in brackets must end on the line that they start on. */
  oneLine?: boolean
}

/**
 * Reads a text as one plain YAML document whose scalars are all text. Faults become findings of the source.
 *
 * @param source - the text
 * @param options - what to refuse beside what is never allowed
 * @returns the document, or `null` when nothing further can be read
 */
export function readDocument (source: Source, options: ReadDocumentOptions = {}): Document | null {
  if (!checkText(source) || !checkTokens(source, options.oneLine ?? false)) return null
  const document = parseYaml(source)
  if (document === null) return null
  reportSyntaxErrors(source, document)
  return document
}

/** Reports what the parser found, but for places that have a finding already. */
function reportSyntaxErrors (source: Source, document: Document): void {
  const reportedLines = new Set(source.findings.map(finding => finding.place.line))
  for (const error of document.errors) {
    if (reportedLines.has(source.lineOf(error.pos[0]))) continue
    const message = error.message.split('\n')[0] ?? ''
    source.report('bad-yaml', error.pos[0], `${message}; mend the YAML at this place`)
  }
}

function parseYaml (source: Source): Document | null {
  try {
    return parseDocument(source.text, { schema: 'failsafe', uniqueKeys: false, prettyErrors: false, logLevel: 'silent' }) as Document
  } catch (error) {
    source.report('bad-yaml', 0, `the text can not be read (${error instanceof Error ? error.message : 'unknown fault'}); mend the YAML`)
    return null
  }
}

function checkText (source: Source): boolean {
  const { text } = source
  const bytes = Buffer.byteLength(text)
  if (bytes > MAX_TEXT_BYTES) {
    source.report('too-large', 0, `the text has ${bytes} bytes, at most ${MAX_TEXT_BYTES} are allowed; remove what is not needed`)
    return false
  }
  if (text.charCodeAt(0) === BYTE_ORDER_MARK) {
    source.report('byte-order-mark', 0, 'the text starts with a byte order mark; save it as UTF-8 without one')
    return false
  }
  const control = CONTROL_CHARACTER.exec(text)
  if (control !== null) {
    const code = control[0].charCodeAt(0).toString(16).padStart(4, '0')
    source.report('binary', control.index, `control character U+${code} was given, expected UTF-8 text; check that this is the right file`)
    return false
  }
  if (text.trim() === '') {
    source.report('empty', 0, 'the text is empty; write the sections that the reference lists')
    return false
  }
  return true
}

/** Refuses YAML features that the rules do without, before anything is built from them. */
function checkTokens (source: Source, oneLine: boolean): boolean {
  let offset = 0
  let depth = 0
  let lineStart = 0
  let bracketOffset = 0
  let count = 0
  for (const token of new Lexer().lex(source.text)) {
    const type = classifyToken(token)
    if (type === 'marker') continue
    if (type === 'flow-start' && depth++ === 0) bracketOffset = offset
    if (type === 'flow-end') depth--
    if (++count > MAX_TOKENS) {
      source.report('too-large', offset, `the text has more than ${MAX_TOKENS} YAML tokens; remove what is not needed`)
      return false
    }
    const isTooDeep = depth > MAX_FLOW_DEPTH || (depth <= 0 && type === 'indicator' && offset - lineStart > MAX_INDICATOR_COLUMN)
    if (isTooDeep) {
      source.report('too-deep', offset, 'lists or maps are nested too deeply here; one rule is one map on one line')
      return false
    }
    const refusal = REFUSED_TOKENS[type]
    if (refusal !== undefined) source.report('not-allowed', offset, `${JSON.stringify(token.slice(0, 40))}: ${refusal}`)
    offset += token.length
    if (type !== 'newline') continue
    lineStart = offset
    if (oneLine && depth > 0) source.report('many-lines', bracketOffset, MANY_LINES_MESSAGE)
  }
  return true
}
