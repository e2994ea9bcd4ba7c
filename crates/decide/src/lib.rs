//! Pure decisions: state in, event in, actions out.
