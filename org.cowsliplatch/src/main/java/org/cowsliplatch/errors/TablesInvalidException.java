package org.cowsliplatch.errors;

import java.util.List;
import java.util.stream.Collectors;
import org.cowsliplatch.table.TableProblem;

/** The tables break at least one rule; the exception lists every problem found. */
public final class TablesInvalidException extends TableException {
    private final transient List<TableProblem> problems;

    /**
     * Creates an exception.
     *
     * @param problems every problem found, at least one
     */
    public TablesInvalidException(List<TableProblem> problems) {
        super(problems.stream().map(TableProblem::text).collect(Collectors.joining("\n")), null);
        this.problems = List.copyOf(problems);
    }

    /** Returns every problem found, in table and row order. */
    public List<TableProblem> problems() {
        return problems;
    }
}
